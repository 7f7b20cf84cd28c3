// Inputs of the directory reducer.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "amaranthlatch/directory/mesh_configuration.h"
#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::directory {

// The two streams of the register. In each, the newest record of a key is kept for good.
enum class Stream : std::uint8_t { kConfiguration = 0, kMembers = 1 };
inline constexpr std::size_t kStreamCount = 2;

// Position of a record in a stream, counted from 0.
using Position = std::uint64_t;

struct WakeUp {
  bool operator==(const WakeUp&) const = default;
};

// The answer to ReadStream. Records that do not decode are left out by the adapter, which logs
// them.
struct StreamReadSucceeded {
  Stream stream = Stream::kConfiguration;
  // Where the next read begins.
  Position next = 0;
  // Of kConfiguration: the newest one that was read; null for none.
  MeshConfiguration::Pointer configuration;
  // Of kMembers.
  std::vector<membership::Member> members;
  bool operator==(const StreamReadSucceeded&) const = default;
};

struct StreamReadFailed {
  Stream stream = Stream::kConfiguration;
  // The records from the position on are gone: the stream has to be listed again.
  bool truncated = false;
  utils::Error error;
  bool operator==(const StreamReadFailed&) const = default;
};

// The answer to WriteMember; `written` is false also where the outcome is not known.
struct MemberWriteCompleted {
  bool written = false;
  bool operator==(const MemberWriteCompleted&) const = default;
};

// The backend server beside this node takes work.
struct BackendServerReady {
  std::string service;
  std::map<std::string, std::string> labels;
  std::uint32_t slots = 0;
  bool operator==(const BackendServerReady&) const = default;
};

// It takes no further work: it drains, has left, or is lost.
struct BackendServerUnavailable {
  bool operator==(const BackendServerUnavailable&) const = default;
};

// Another node acts on this version of the configuration.
struct NewerVersionObserved {
  document::Version version = 0;
  bool operator==(const NewerVersionObserved&) const = default;
};

// This node shuts down.
struct DrainStarted {
  bool operator==(const DrainStarted&) const = default;
};

using Event =
    std::variant<WakeUp, StreamReadSucceeded, StreamReadFailed, MemberWriteCompleted,
                 BackendServerReady, BackendServerUnavailable, NewerVersionObserved, DrainStarted>;

}  // namespace amaranthlatch::directory
