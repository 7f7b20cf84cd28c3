// Outputs of the directory reducer.

#pragma once

#include <optional>
#include <variant>

#include "amaranthlatch/directory/event.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::directory {

// Reads records from a position on and waits for one if there is none yet; without a position,
// lists the newest record of every key. A read replaces the one under
// way on its stream, which is not reported any more.
struct ReadStream {
  Stream stream = Stream::kConfiguration;
  std::optional<Position> from;
  utils::Duration wait{};
  bool operator==(const ReadStream&) const = default;
};

// Stores the record of this node under its id. At most one write is under way.
struct WriteMember {
  membership::Member member;
  bool operator==(const WriteMember&) const = default;
};

struct ConfigurationActivated {
  document::Version version = 0;
  document::Version previous_version = 0;
  std::size_t route_count = 0;
  bool operator==(const ConfigurationActivated&) const = default;
};

struct MemberChanged {
  membership::Member member;
  bool operator==(const MemberChanged&) const = default;
};

// The register is lost or reached again, as seen by reads of a stream.
struct RegisterReachabilityChanged {
  Stream stream = Stream::kConfiguration;
  bool reachable = false;
  utils::Error error;
  bool operator==(const RegisterReachabilityChanged&) const = default;
};

using Effect = std::variant<ReadStream, WriteMember, ConfigurationActivated, MemberChanged,
                            RegisterReachabilityChanged>;

}  // namespace amaranthlatch::directory
