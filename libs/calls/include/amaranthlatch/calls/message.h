// Messages between the calls reducers of an entry node and a gate.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <string>
#include <variant>
#include <vector>

#include "amaranthlatch/calls/request.h"
#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls {

// Names one attempt of one call mesh-wide.
struct AttemptId {
  membership::NodeId entry;
  std::uint64_t entry_boot_id = 0;
  std::uint64_t call = 0;
  std::uint32_t attempt = 0;
  auto operator<=>(const AttemptId&) const = default;
};

struct CallRequest {
  AttemptId id;
  // A gate of another boot id answers "unknown": the process named here may have run a copy.
  // With the same boot id and another incarnation it refuses as not run.
  std::uint64_t gate_incarnation = 0;
  std::uint64_t gate_boot_id = 0;
  std::string service;
  std::string route;
  document::Version version = 0;
  HttpRequest request;
  // Time left at sending; clocks of nodes are not compared.
  utils::Duration remaining{};
  // Time left until the answer is late; a queue that would take longer refuses. Zero for no such
  // time.
  utils::Duration latency_budget{};
  bool idempotent = false;
  document::Priority priority = document::Priority::kNormal;
  std::uint64_t fingerprint = 0;
  // Permit token as the caller presented it; empty without one.
  std::string permit;
  std::uint64_t max_response_bytes = 0;
  bool operator==(const CallRequest&) const = default;
};

// Load of a gate: a hint for the choice of backend servers.
struct GateLoad {
  std::uint32_t in_flight = 0;
  // Calls in the queue of each priority class.
  std::array<std::uint32_t, document::kPriorityCount> queued{};

  // Calls that go before a new one of this class, running ones among them.
  std::uint32_t CallsAhead(document::Priority priority) const {
    const auto end = this->queued.begin() + static_cast<std::ptrdiff_t>(priority) + 1;
    return std::accumulate(this->queued.begin(), end, this->in_flight);
  }
  bool operator==(const GateLoad&) const = default;
};

struct CallReply {
  AttemptId id;
  Answer answer;
  GateLoad load;
  // Home gate of a suspect request where code is kSuspectElsewhere.
  membership::NodeId redirect;
  bool operator==(const CallReply&) const = default;
};

// Fences an attempt: a request that arrives after it is refused. A waiting one is dropped and a
// running one cancelled if `abort` is set, that is when the call has ended or its caller is gone.
struct CallCancel {
  AttemptId id;
  // Only the process that may have received the attempt can answer for it.
  std::uint64_t gate_boot_id = 0;
  bool abort = false;
  bool operator==(const CallCancel&) const = default;
};

// `ran` is false only if the attempt did not run and never will; a waiting one may still run.
struct CallCancelReply {
  AttemptId id;
  bool ran = false;
  // The attempt waits or is in flight and its CallReply is still to come.
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

// Requests that were in flight when a backend server of the service died.
struct CrashReport {
  std::string service;
  std::vector<std::uint64_t> fingerprints;
  // Names the death, so that a repeated report counts once.
  membership::NodeId gate;
  std::uint64_t gate_boot_id = 0;
  std::uint64_t crash = 0;
  bool operator==(const CrashReport&) const = default;
};

struct CrashCleared {
  std::string service;
  std::uint64_t fingerprint = 0;
  bool operator==(const CrashCleared&) const = default;
};

using Message = std::variant<CallRequest, CallReply, CallCancel, CallCancelReply, PermitRequest,
                             PermitReply, CrashReport, CrashCleared>;

}  // namespace amaranthlatch::calls
