// Messages between the participants of a rollout and its coordinator.

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::rollout {

// Later values follow earlier ones, except that a rollout is either stopped or completed.
enum class Phase : std::uint8_t {
  // No directive received yet.
  kNone = 0,
  kCanary = 1,
  kRamp = 2,
  kPromote = 3,
  kRetire = 4,
  // Found bad or without evidence; the verdict is not written yet.
  kStopped = 5,
  kComplete = 6,
  kRolledBack = 7,
};

inline bool IsVerdict(Phase phase) { return phase >= Phase::kComplete; }
// Whether the number of runs of the new version is limited.
inline bool IsLimited(Phase phase) { return phase == Phase::kCanary || phase == Phase::kRamp; }

// Number of answers in one bucket of latencies (evidence.h).
struct LatencyCount {
  std::uint8_t bucket = 0;
  std::uint64_t count = 0;
  bool operator==(const LatencyCount&) const = default;
};

// What a gate has counted on one route, without the runs that began while its server was cold.
struct RouteCounters {
  std::string route;
  // Runs that ended, with failed and cancelled ones.
  std::uint64_t answers = 0;
  std::uint64_t failures = 0;
  // Without failures, in ascending order of the bucket. A cancelled run counts with its length.
  std::vector<LatencyCount> latencies;
  bool operator==(const RouteCounters&) const = default;
};

// From a participant to the coordinator. Counters are cumulative since this process learned of the
// order and its backend server had this version.
struct Report {
  std::string service;
  // Position of the order.
  std::uint64_t order = 0;
  std::string version;
  // Process of the node, and number of the versions of the backend server that it has seen:
  // counters start at 0 with each change of either.
  std::uint64_t boot_id = 0;
  std::uint64_t server = 0;
  // Clock of the sender; increases with each report and is echoed by the directive.
  utils::Duration sent_at{};
  // Highest term known to the sender, and the sequence of the last directive of this term that is
  // in force; 0 if there is none.
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
  // Highest phase that the sender was told, under any term.
  Phase phase = Phase::kNone;
  bool stopped = false;
  // The sender found the coordinator of the term silent.
  bool coordinator_lost = false;
  // The backend server was serving its version when the order arrived, and no ready member had
  // another version.
  bool in_place = false;
  // The version is the target of an earlier order that was replaced before a verdict was known.
  bool superseded = false;
  utils::Duration elapsed{};
  bool available = false;
  std::uint32_t slots = 0;
  // Whether the gate accepts calls.
  bool accepting = false;
  utils::Duration cold_left{};
  std::uint64_t started = 0;
  std::uint64_t running = 0;
  // Number of runs that the gate may start in total while exposure is limited.
  std::uint64_t allowance = 0;
  // Sum of all allowances, as far as known.
  std::uint64_t granted = 0;
  std::vector<RouteCounters> routes;
  bool operator==(const Report&) const = default;
};

// From the coordinator to a participant: answers each report and follows each change of the phase.
// Nodes that know the verdict answer reports with it as well.
struct Directive {
  std::string service;
  std::uint64_t order = 0;
  // Receiver: the process and the server of the report that is answered.
  std::uint64_t boot_id = 0;
  std::uint64_t server = 0;
  // Fencing token: position of the claim of the coordinator, plus 1.
  std::uint64_t term = 0;
  // Increases with each directive of a term.
  std::uint64_t sequence = 0;
  Phase phase = Phase::kNone;
  utils::Duration elapsed{};
  // Whether a gate of the new version announces its server while exposure is limited.
  bool announce = false;
  std::uint64_t allowance = 0;
  std::uint64_t granted = 0;
  // Of the report that is answered. The lease of the allowance ends `lease` after it.
  utils::Duration sent_at{};
  utils::Duration lease{};
  // See StatusRecord::replaced_versions.
  std::vector<std::string> replaced_versions;
  bool operator==(const Directive&) const = default;
};

// Names the node that the receiver should report to: the coordinator, or the sender itself while it
// claims the order. Empty if the sender knows none and cannot claim the order.
struct Redirect {
  std::string service;
  std::uint64_t order = 0;
  membership::NodeId coordinator;
  // Highest term known to the sender.
  std::uint64_t term = 0;
  bool stopped = false;
  bool operator==(const Redirect&) const = default;
};

using Message = std::variant<Report, Directive, Redirect>;

}  // namespace amaranthlatch::rollout
