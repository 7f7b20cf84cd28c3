// Inputs of the rollout reducer.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/rollout/message.h"
#include "amaranthlatch/rollout/order.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::rollout {

// The time returned by Rollout::NextWake has been reached.
struct WakeUp {
  bool operator==(const WakeUp&) const = default;
};

// All current orders. Also delivered, without any, when the first read has found none.
struct OrdersChanged {
  std::vector<Order> orders;
  bool operator==(const OrdersChanged&) const = default;
};

// The local backend server as it announces itself, at each change.
struct BackendServerChanged {
  std::string service;
  // Empty if unknown.
  std::string version;
  std::uint32_t slots = 0;
  // False when it has left or was lost.
  bool available = false;
  // For how much longer it is slow after its start.
  utils::Duration cold_left{};
  bool operator==(const BackendServerChanged&) const = default;
};

// The gate handed a call to the backend server.
struct RunStarted {
  std::uint64_t run = 0;
  std::string route;
  bool operator==(const RunStarted&) const = default;
};

enum class RunOutcome : std::uint8_t {
  kAnswered,
  // Status 5xx of the backend server, or a lost or broken answer.
  kFailed,
  // The caller left or the deadline passed.
  kCancelled,
  // The backend server refused the call without running it.
  kNotRun,
  // The process of the backend server ended. Runs lost together count as one failure, so that the
  // loss of one instance of a good version is no evidence against the version.
  kServerLost,
};

struct RunEnded {
  std::uint64_t run = 0;
  RunOutcome outcome = RunOutcome::kAnswered;
  bool operator==(const RunEnded&) const = default;
};

// Successful result of ReadStatus. Reads are linearizable.
struct StatusRead {
  std::string service;
  // Position at which the next record of the stream will be stored.
  std::uint64_t end = 0;
  // Newest record of the service; none if there is none or it cannot be decoded.
  std::optional<StatusRecord> record;
  bool operator==(const StatusRead&) const = default;
};

struct StatusReadFailed {
  std::string service;
  bool operator==(const StatusReadFailed&) const = default;
};

enum class WriteOutcome : std::uint8_t {
  kWritten,
  // Another record was stored first; this one never will be.
  kConflict,
  // It may have been stored, or may be stored later.
  kUnknown,
};

// Result of WriteStatus.
struct StatusWritten {
  std::string service;
  WriteOutcome outcome = WriteOutcome::kUnknown;
  // Position of the record if it was written, which equals WriteStatus::expected_end.
  std::uint64_t position = 0;
  bool operator==(const StatusWritten&) const = default;
};

struct PeerMessage {
  membership::NodeId from;
  Message message;
  bool operator==(const PeerMessage&) const = default;
};

// The connection to another node was lost or cannot be established.
struct PeerUnreachable {
  membership::NodeId id;
  bool operator==(const PeerUnreachable&) const = default;
};

using Event =
    std::variant<WakeUp, OrdersChanged, BackendServerChanged, RunStarted, RunEnded, StatusRead,
                 StatusReadFailed, StatusWritten, PeerMessage, PeerUnreachable>;

}  // namespace amaranthlatch::rollout
