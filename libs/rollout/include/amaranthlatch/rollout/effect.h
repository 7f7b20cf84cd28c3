// Outputs of the rollout reducer.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/rollout/message.h"
#include "amaranthlatch/rollout/order.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::rollout {

struct SendMessage {
  membership::NodeId to;
  Message message;
  bool operator==(const SendMessage&) const = default;
};

// Reads the newest status record of the service and the end of the stream. At most one read or
// write is in flight.
struct ReadStatus {
  std::string service;
  bool operator==(const ReadStatus&) const = default;
};

// Stores the record if the stream still ends at `expected_end`.
struct WriteStatus {
  StatusRecord record;
  std::uint64_t expected_end = 0;
  bool operator==(const WriteStatus&) const = default;
};

// Whether the node announces the local backend server as ready, and whether its gate accepts calls.
struct AdmissionChanged {
  bool announce = true;
  bool accept = true;
  bool operator==(const AdmissionChanged&) const = default;
};

// Why a rollout changed its phase.
enum class Reason : std::uint8_t {
  kNone,
  // A coordinator claimed the order for the first time, or in place of a silent one.
  kClaimed,
  kTakenOver,
  // A participant was told a later phase by an earlier coordinator.
  kPhaseLearned,
  kStopLearned,
  kEnoughEvidence,
  // No server of another version is left to move the traffic from.
  kNoOldServer,
  kEnoughCapacity,
  kTimeReached,
  kOldServersIdle,
  kFailures,
  kLatency,
  kNotEnoughEvidence,
  // No server of the target version accepts calls.
  kNoServer,
  // An order with a higher position replaced this one.
  kOrderReplaced,
  // The register holds a verdict of another coordinator.
  kVerdictLearned,
  // The order has no target version or no positive duration.
  kOrderInvalid,
};

// Text form, such as "not-enough-evidence".
std::string_view ToString(Reason reason);
std::string_view ToString(Phase phase);
std::string_view ToString(State state);

// Figures of a decision, for logging.
struct Figures {
  std::string service;
  // Position of the order.
  std::uint64_t order = 0;
  std::string target_version;
  std::uint64_t term = 0;
  Phase phase = Phase::kNone;
  Reason reason = Reason::kNone;
  utils::Duration elapsed{};
  // Route that decided; empty for all routes together.
  std::string route;
  // Of the route in the time that was compared, new and old version.
  std::uint64_t answers = 0;
  std::uint64_t failures = 0;
  std::uint64_t old_answers = 0;
  std::uint64_t old_failures = 0;
  utils::Duration median{};
  utils::Duration old_median{};
  // Runs of the new version and of all versions since the order.
  std::uint64_t exposure = 0;
  std::uint64_t total = 0;
  bool operator==(const Figures&) const = default;
};

// The coordinator, which is this node, changed the phase. Also emitted by participants for an order
// that is invalid (kOrderInvalid), and by the coordinator of an order that was replaced.
struct StageChanged {
  Figures figures;
  bool operator==(const StageChanged&) const = default;
};

// The verdict of the order is known and final.
struct VerdictReached {
  State state = State::kRunning;
  // Whether this node wrote it; the figures are complete only then.
  bool decided_here = false;
  Figures figures;
  bool operator==(const VerdictReached&) const = default;
};

using Effect = std::variant<SendMessage, ReadStatus, WriteStatus, AdmissionChanged, StageChanged,
                            VerdictReached>;

}  // namespace amaranthlatch::rollout
