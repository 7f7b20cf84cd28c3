// Outputs of the distribution reducer.

#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "amaranthlatch/acceptance/record.h"
#include "amaranthlatch/distribution/event.h"
#include "amaranthlatch/distribution/message.h"
#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::distribution {

struct SendMessage {
  membership::NodeId to;
  Message message;
  bool operator==(const SendMessage&) const = default;
};

// Reads records from `from` on; waits up to `wait` at the log for the first one.
struct ReadLog {
  std::uint64_t request = 0;
  Stream stream = Stream::kConfig;
  Offset from = 1;
  std::uint32_t limit = 0;
  utils::Duration wait{};
  bool operator==(const ReadLog&) const = default;
};

struct AppendLog {
  std::uint64_t request = 0;
  Stream stream = Stream::kSnapshots;
  nlohmann::json value;
  bool operator==(const AppendLog&) const = default;
};

// The verdict on a record, given when the record came into force on this node.
struct VerdictInForce {
  acceptance::Verdict verdict;
  bool operator==(const VerdictInForce&) const = default;
};

// Whether the node may serve, and why not.
struct ReadinessChanged {
  bool ready = false;
  std::string reason;
  bool operator==(const ReadinessChanged&) const = default;
};

// The fold stopped at a record of a format that this release does not know.
struct FoldStopped {
  Offset offset = 0;
  bool operator==(const FoldStopped&) const = default;
};

using Effect =
    std::variant<SendMessage, ReadLog, AppendLog, VerdictInForce, ReadinessChanged, FoldStopped>;

}  // namespace amaranthlatch::distribution
