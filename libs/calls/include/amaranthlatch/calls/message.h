// Messages exchanged by the calls reducers of entry nodes and gates.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "amaranthlatch/calls/request.h"
#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls {

// Identifies one attempt of one call, unique across the mesh.
struct AttemptId {
  membership::NodeId entry;
  std::uint64_t entry_boot_id = 0;
  std::uint64_t call = 0;
  std::uint32_t attempt = 0;
  auto operator<=>(const AttemptId&) const = default;
};

struct CallRequest {
  AttemptId id;
  // A gate with another boot id answers "unknown", because the addressed process may have run a
  // copy. With the same boot id but another incarnation it refuses the request as not run.
  std::uint64_t gate_incarnation = 0;
  std::uint64_t gate_boot_id = 0;
  std::string service;
  std::string route;
  document::Version version = 0;
  HttpRequest request;
  // Time left until the deadline when sent. Relative, so that node clocks need not agree.
  utils::Duration remaining{};
  // Time left to meet the target latency; a gate with a longer expected queueing time refuses the
  // request. Zero means no limit.
  utils::Duration latency_budget{};
  bool idempotent = false;
  document::Priority priority = document::Priority::kNormal;
  std::uint64_t fingerprint = 0;
  // Permit token as presented by the caller; empty if there is none.
  std::string permit;
  std::uint64_t max_response_bytes = 0;
  // Name of the workspace; empty for a call that belongs to none.
  std::string workspace;
  bool operator==(const CallRequest&) const = default;
};

// Load of a gate; a hint for load balancing.
struct GateLoad {
  std::uint32_t in_flight = 0;
  // Number of queued calls for each priority.
  std::array<std::uint32_t, document::kPriorityCount> queued{};
  // Of these, the number that precedes a call of a workspace that has none in the queue.
  std::array<std::uint32_t, document::kPriorityCount> ahead_of_new{};
  // Time in milliseconds that a new call of each priority waits for a slot.
  std::array<std::uint32_t, document::kPriorityCount> wait_ms{};
  // Time in milliseconds that a new bulk answer of each priority waits for the link of the gate.
  std::array<std::uint32_t, document::kPriorityCount> link_wait_ms{};

  // Number of running calls plus queued calls that precede a new one of this priority.
  std::uint32_t CallsAhead(document::Priority priority) const {
    const auto end = this->queued.begin() + static_cast<std::ptrdiff_t>(priority) + 1;
    return std::accumulate(this->queued.begin(), end, this->in_flight);
  }
  // Whether calls of this priority wait for a slot or, with a bulk answer, for the link.
  bool IsBusy(document::Priority priority) const {
    const auto index = static_cast<std::size_t>(priority);
    return this->wait_ms.at(index) > 0 || this->link_wait_ms.at(index) > 0;
  }
  bool operator==(const GateLoad&) const = default;
};

struct CallReply {
  AttemptId id;
  Answer answer;
  GateLoad load;
  // Owner gate of a suspect request, if the answer code is kSuspectElsewhere.
  membership::NodeId redirect;
  // Number of queued calls that precede a further call of this priority and workspace. Unset if the
  // gate does not tell workspaces apart there.
  std::optional<std::uint32_t> workspace_ahead = std::nullopt;
  // Time in microseconds that calls of this route now take at the backend server; 0 if the gate
  // does not know it.
  std::uint32_t run_time_us = 0;
  bool operator==(const CallReply&) const = default;
};

// Fences an attempt: a request that arrives later is refused. With `abort`, which is set if the
// call has ended or its caller has disconnected, a queued attempt is dropped and a running one is
// cancelled.
struct CallCancel {
  AttemptId id;
  // Only the process that may have received the attempt knows whether it ran.
  std::uint64_t gate_boot_id = 0;
  bool abort = false;
  // Time after which the entry node can no longer take the answer; unset for the deadline of the
  // call. A queued attempt that is not expected to end in time is dropped, a running one goes on.
  // Nodes of earlier releases reject a message with this field.
  std::optional<utils::Duration> answer_within = std::nullopt;
  bool operator==(const CallCancel&) const = default;
};

// `ran` is false only if the attempt did not run and never will; it is true for a queued attempt,
// which may still run.
struct CallCancelReply {
  AttemptId id;
  bool ran = false;
  // The attempt is queued or running, so its CallReply is still to come.
  bool running = false;
  bool operator==(const CallCancelReply&) const = default;
};

struct PermitRequest {
  std::uint64_t request = 0;
  std::string service;
  std::string route;
  bool operator==(const PermitRequest&) const = default;
};

struct PermitReply {
  std::uint64_t request = 0;
  utils::ErrorCode code = utils::ErrorCode::kOk;
  std::string permit;
  std::uint32_t expires_in_ms = 0;
  bool operator==(const PermitReply&) const = default;
};

// Fingerprints of the requests in flight when a backend server of the service crashed.
struct CrashReport {
  std::string service;
  std::vector<std::uint64_t> fingerprints;
  // Together with `crash` identifies the crash, so that a repeated report counts once.
  membership::NodeId gate;
  std::uint64_t gate_boot_id = 0;
  std::uint64_t crash = 0;
  // Those of the fingerprints that may be the cause: none if a request was on trial, whose outcome
  // is reported apart, and none of a request that the gate completed lately.
  std::vector<std::uint64_t> candidates = {};
  bool operator==(const CrashReport&) const = default;
};

struct CrashCleared {
  std::string service;
  std::uint64_t fingerprint = 0;
  bool operator==(const CrashCleared&) const = default;
};

// A suspect request crashed the backend server while it was the only suspect that ran there.
struct CrashConfirmed {
  std::string service;
  std::uint64_t fingerprint = 0;
  bool operator==(const CrashConfirmed&) const = default;
};

using Message = std::variant<CallRequest, CallReply, CallCancel, CallCancelReply, PermitRequest,
                             PermitReply, CrashReport, CrashCleared, CrashConfirmed>;

}  // namespace amaranthlatch::calls
