// Gate side of calls: admission control, queueing, dispatch to the local backend server and
// cancellation.

#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "attempt_memory.h"
#include "concurrency_limit.h"
#include "context.h"
#include "link_budget.h"
#include "permit_codec.h"
#include "permit_ledger.h"
#include "priority_queue.h"
#include "quarantine.h"
#include "server_speed.h"
#include "service_times.h"
#include "slot_use.h"

namespace amaranthlatch::calls::details {

// Weight of a new sample in the service times of the backend server.
inline constexpr double kServiceTimeSmoothing = 0.1;

class Gate {
 public:
  explicit Gate(SharedState& shared);

  void OnRequest(const Context& context, CallRequest request);
  void OnCancel(const Context& context, const CallCancel& cancel);
  void OnPermitRequest(const Context& context, const membership::NodeId& from,
                       const PermitRequest& request);
  void OnAnswered(const Context& context, const BackendServerAnswered& answered);
  void OnFailed(const Context& context, const BackendServerFailed& failed);
  void OnBackendServer(const Context& context, const BackendServerChanged& changed);
  void OnCrashReport(const Context& context, const CrashReport& report);
  void OnCrashCleared(const Context& context, const CrashCleared& cleared);
  void OnCrashConfirmed(const Context& context, const CrashConfirmed& confirmed);
  void SetAdmission(bool open) { this->open = open; }
  void SetDraining() { this->draining = true; }

  // Drops expired queued calls, cancels runs past their deadline and dispatches queued calls to
  // free slots.
  void Advance(const Context& context);

  std::optional<utils::Timestamp> NextWake() const;
  bool IsIdle() const { return this->runs.empty() && this->queue.Size() == 0; }
  void FillGauges(Gauges& gauges) const;

 private:
  // What decides the place of a call in the queue, beside its latency deadline, and its run time.
  struct Share {
    document::Priority priority = document::Priority::kNormal;
    std::string workspace;
    double weight = 1.0;
    RouteKey route = 0;
  };
  struct Run {
    AttemptId id;
    Share share;
    std::uint64_t key = 0;
    std::uint64_t fingerprint = 0;
    std::uint64_t permit = 0;
    std::uint64_t max_response_bytes = 0;
    std::uint64_t body_bytes = 0;
    document::Priority priority = document::Priority::kNormal;
    // Whether the answer uses the link of this instance.
    bool uses_link = false;
    utils::Timestamp started{};
    utils::Timestamp deadline{};
    RouteKey route = 0;
    // Reason for the cancellation; kOk if the run was not cancelled.
    utils::ErrorCode cancelled = utils::ErrorCode::kOk;
    // Whether all slots of the concurrency limit were in use when the run ended.
    bool saturated = false;
    // Whether the run was in flight during a crash that has already been reported.
    bool crash_reported = false;
    // Whether the request was a suspect when the run started.
    bool is_trial = false;
  };
  struct LostConnection {
    utils::Timestamp at{};
    std::uint64_t fingerprint = 0;
    bool is_trial = false;
  };

  // Returns kOk, or the reason why the gate currently admits no calls for the service.
  utils::ErrorCode CheckAdmission(const std::string& service) const;
  // Returns kOk, or the reason why the quarantine forbids running the request on this node now.
  // Sets `redirect` for kSuspectElsewhere.
  utils::ErrorCode CheckQuarantine(const Context& context, std::uint64_t fingerprint,
                                   membership::NodeId& redirect) const;
  // Expected time at the backend server.
  utils::Duration ExpectedRunTime(const AdmittedCall& call) const;
  // Expected time until a slot is free for a new call.
  utils::Duration ExpectedWait(const Context& context, const AdmittedCall& call) const;
  // Work of the queued calls that are dequeued before a new one of this class and deadline.
  utils::Duration WorkAhead(document::Priority priority) const;
  // Whether the last free slot is kept from calls of this class for one of class internal.
  bool KeepsLastSlot(document::Priority priority, utils::Timestamp now) const;
  // Time until a slot is free for a call of this class with this work ahead of it.
  utils::Duration WaitBehind(utils::Duration work, document::Priority priority,
                             utils::Timestamp now) const;
  // Makes a queued call leave the queue in time for an answer at `answer_by`.
  void LimitQueued(std::uint64_t key, utils::Timestamp answer_by);
  // Refuses queued calls that would be answered late, as long as a refusal is not late itself, and
  // those that would be answered after their entry nodes have ended.
  void RefuseLateCalls(const Context& context);
  // Returns kOk, or the reason why the call would not be answered in time.
  void NoteEmptyQueues(utils::Timestamp now);
  // Whether the queue of the call has stood for a while and its wait is too long for that.
  bool MeetsStandingQueue(const AdmittedCall& call, utils::Duration wait,
                          utils::Timestamp now) const;
  utils::ErrorCode CheckExpectedTime(const Context& context, const AdmittedCall& call,
                                     bool has_slot) const;
  // Whether the call fits the limits of its class and of the bodies. Drops queued calls of
  // workspaces that use more than the one of this call, as far as needed.
  bool MakeRoom(const Context& context, const AdmittedCall& call, bool has_slot);

  // Returns true if the call may proceed to admission; otherwise the call has been replied to,
  // ignored as a duplicate or added to the copies that wait for the answer of an earlier one.
  bool CheckPermit(const Context& context, AdmittedCall& call);
  void ReplyToUsedPermit(const Context& context, PermitRecord& record, const AdmittedCall& call);
  void WaitForAnswer(const Context& context, PermitRecord& record, const AdmittedCall& call);
  void InvalidatePermit(const Context& context, std::uint64_t sequence, const Answer& answer);
  void FinishPermit(const Context& context, std::uint64_t sequence, const Answer& answer);

  void Admit(const Context& context, AdmittedCall call);
  // Refuses a call before admission. The attempt is tracked and never runs.
  void Refuse(const Context& context, const AdmittedCall& call, utils::ErrorCode code,
              membership::NodeId redirect = {});
  // Drops an admitted call that has not run.
  void Drop(const Context& context, const AdmittedCall& call, utils::ErrorCode code,
            membership::NodeId redirect = {});
  void Start(const Context& context, AdmittedCall call);
  void DispatchQueued(const Context& context);
  void Cancel(const Context& context, std::uint64_t run_id, utils::ErrorCode reason);
  // `ran` is false only if the backend server did not run the request.
  void Finish(const Context& context, const Run& run, const Answer& answer, bool ran);
  std::optional<Run> RemoveRun(std::uint64_t run_id, utils::Timestamp now);
  void OnProcessCrash(const Context& context, const Run& run, BackendFailure failure);

  static Share ShareOf(const AdmittedCall& call);
  // `share` of the call that the reply answers; null for the answer of a permit.
  void Reply(const Context& context, const AttemptId& id, Answer answer,
             membership::NodeId redirect = {}, const Share* share = nullptr) const;
  void DescribeLoad(CallReply& reply, const Share* share, utils::Timestamp now) const;
  void UpdateSlots(const Context& context);

  SharedState& shared;
  AttemptMemory memory;
  PermitCodec codec;
  PermitLedger ledger;
  PriorityQueue queue;
  ConcurrencyLimit limit;
  ServiceTimes service_times{kServiceTimeSmoothing};
  ServerSpeed speed;
  SlotUse slot_use;
  LinkBudget link;
  Quarantine quarantine;

  std::string service;
  std::uint32_t announced_slots = 0;
  bool available = false;
  bool open = false;
  bool draining = false;
  utils::Timestamp next_review{};
  // Whether calls were limited after the last review of the queue.
  bool review_due = false;
  // When the last call of class internal came.
  std::optional<utils::Timestamp> internal_at;
  // When no call of a class or of more urgent ones was queued last.
  std::array<utils::Timestamp, document::kPriorityCount> empty_at{};

  std::uint64_t last_run_id = 0;
  // Requests in flight at the backend server. Every run has one entry in each of the two indices.
  std::unordered_map<std::uint64_t, Run> runs;
  // Total size of their bodies.
  std::uint64_t running_bytes = 0;
  std::unordered_map<std::uint64_t, std::uint64_t> run_by_key;
  std::set<std::pair<utils::Timestamp, std::uint64_t>> run_deadlines;
  // Recently lost connections, which may turn out to have been lost in a backend server crash.
  std::deque<LostConnection> lost_connections;
};

}  // namespace amaranthlatch::calls::details
