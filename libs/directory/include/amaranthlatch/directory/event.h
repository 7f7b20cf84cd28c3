// Inputs of the directory reducer.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "amaranthlatch/directory/mesh_configuration.h"
#include "amaranthlatch/directory/message.h"
#include "amaranthlatch/directory/rollout_order.h"
#include "amaranthlatch/directory/withdrawal.h"
#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::directory {

// Streams of the register. Each retains the newest record of every key indefinitely.
enum class Stream : std::uint8_t { kConfiguration = 0, kMembers = 1 };
inline constexpr std::size_t kStreamCount = 2;

// Zero-based position of a record in a stream.
using Position = std::uint64_t;

// Rises when the register comes back from an older copy: what it acknowledged since is lost, and
// positions are given out again. Positions of two eras cannot be compared.
using Era = std::uint64_t;

// The time returned by Directory::NextWake has been reached.
struct WakeUp {
  bool operator==(const WakeUp&) const = default;
};

// Successful result of ReadStream. The adapter logs records that cannot be decoded and leaves them
// out.
struct StreamReadSucceeded {
  Stream stream = Stream::kConfiguration;
  // Position at which the next read starts.
  Position next = 0;
  // For kConfiguration: the newest configuration read, or null.
  MeshConfiguration::Pointer configuration;
  // For kMembers: the member records read, those of one member in stream order.
  std::vector<membership::Member> members;
  // For kConfiguration: the rollout orders read, in stream order.
  std::vector<RolloutOrder> orders;
  // Stated by the answer; none if the register states none.
  std::optional<Era> era = std::nullopt;
  bool operator==(const StreamReadSucceeded&) const = default;
};

// Failed result of ReadStream.
struct StreamReadFailed {
  Stream stream = Stream::kConfiguration;
  // The records at the requested position no longer exist: the stream must be listed again.
  bool truncated = false;
  utils::Error error;
  // Stated by the answer; none without an answer.
  std::optional<Era> era = std::nullopt;
  bool operator==(const StreamReadFailed&) const = default;
};

// Result of WriteMember. `written` is also false if the outcome is unknown.
struct MemberWriteCompleted {
  bool written = false;
  // Stated by the answer; none without an answer.
  std::optional<Era> era = std::nullopt;
  bool operator==(const MemberWriteCompleted&) const = default;
};

// The local backend server accepts requests.
struct BackendServerReady {
  std::string service;
  std::map<std::string, std::string> labels;
  // Number of requests that the backend server runs concurrently.
  std::uint32_t slots = 0;
  // How much longer it is slow after its start.
  utils::Duration cold_left{};
  bool operator==(const BackendServerReady&) const = default;
};

// The local backend server accepts no further requests: it is draining, has left, or was lost.
struct BackendServerUnavailable {
  // What the record of this node keeps for its next process; none if the server was lost.
  std::optional<Withdrawal> withdrawal;
  bool operator==(const BackendServerUnavailable&) const = default;
};

// Another node uses this version of the configuration. Ignored unless it is newer than the one in
// force.
struct NewerVersionObserved {
  document::Version version = 0;
  membership::NodeId node;
  bool operator==(const NewerVersionObserved&) const = default;
};

// A message of another node.
struct PeerMessageReceived {
  membership::NodeId from;
  Message message;
  bool operator==(const PeerMessageReceived&) const = default;
};

// The connection to another node was lost or cannot be established.
struct PeerUnreachable {
  membership::NodeId id;
  bool operator==(const PeerUnreachable&) const = default;
};

// This node has begun to shut down.
struct DrainStarted {
  bool operator==(const DrainStarted&) const = default;
};

using Event = std::variant<WakeUp, StreamReadSucceeded, StreamReadFailed, MemberWriteCompleted,
                           BackendServerReady, BackendServerUnavailable, NewerVersionObserved,
                           PeerMessageReceived, PeerUnreachable, DrainStarted>;

}  // namespace amaranthlatch::directory
