// The gate side of calls: admits, queues, runs and cancels work for this node's backend server.

#pragma once

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
#include "permit_codec.h"
#include "permit_ledger.h"
#include "priority_queue.h"
#include "quarantine.h"

namespace amaranthlatch::calls::details {

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
  void SetAdmission(bool open) { this->open = open; }
  void SetDraining() { this->draining = true; }

  // Drops what has expired, cancels what is past its deadline and starts what has a slot.
  void Advance(const Context& context);

  std::optional<utils::Timestamp> NextWake() const;
  bool IsIdle() const { return this->runs.empty() && this->queue.Size() == 0; }
  void Fill(Gauges& gauges) const;

 private:
  struct Run {
    AttemptId id;
    std::uint64_t key = 0;
    std::uint64_t fingerprint = 0;
    std::uint64_t permit = 0;
    std::uint64_t max_response_bytes = 0;
    utils::Timestamp started{};
    utils::Timestamp deadline{};
    // Why it was cancelled; kOk while it was not.
    utils::ErrorCode cancelled = utils::ErrorCode::kOk;
    // When it ended, the gate used all slots of its limit.
    bool all_slots_used = false;
    // It was in flight at a death that has been reported.
    bool in_crash = false;
  };
  struct LostConnection {
    utils::Timestamp at{};
    std::uint64_t fingerprint = 0;
  };

  // kOk, or why the gate takes no call of this service now.
  utils::ErrorCode CheckOpen(const std::string& service) const;
  // kOk, or why the quarantine does not let the request run here now.
  utils::ErrorCode CheckSuspicion(const Context& context, std::uint64_t fingerprint,
                                  membership::NodeId& redirect) const;
  // kOk, or why no queue takes the request.
  utils::ErrorCode CheckQueue(const Context& context, const AdmittedCall& call) const;

  // True if the permit lets the call go on to admission; otherwise the call is dealt with.
  bool CheckPermit(const Context& context, AdmittedCall& call);
  void AnswerUsedPermit(const Context& context, PermitRecord& record, const AdmittedCall& call);
  void WaitForAnswer(const Context& context, PermitRecord& record, const AdmittedCall& call);
  void VoidPermit(const Context& context, std::uint64_t sequence, const Answer& answer);
  void FinishPermit(const Context& context, std::uint64_t sequence, const Answer& answer);

  void Admit(const Context& context, AdmittedCall call);
  // Refuses a call that was not admitted: it will never run.
  void Refuse(const Context& context, const AdmittedCall& call, utils::ErrorCode code,
              membership::NodeId redirect = {});
  // Drops a call that was admitted and did not run.
  void Drop(const Context& context, const AdmittedCall& call, utils::ErrorCode code,
            membership::NodeId redirect = {});
  void Start(const Context& context, AdmittedCall call);
  void FillSlots(const Context& context);
  void Cancel(const Context& context, std::uint64_t run_id, utils::ErrorCode reason);
  // `ran` is false only if the backend server has not run the request.
  void Finish(const Context& context, const Run& run, const Answer& answer, bool ran);
  std::optional<Run> TakeRun(std::uint64_t run_id);
  void OnProcessDead(const Context& context, const Run& run, BackendFailure failure);

  void Reply(const Context& context, const AttemptId& id, Answer answer,
             membership::NodeId redirect = {}) const;
  void UpdateSlots(const Context& context);

  SharedState& shared;
  AttemptMemory memory;
  PermitCodec codec;
  PermitLedger ledger;
  PriorityQueue queue;
  ConcurrencyLimit limit;
  Quarantine quarantine;

  std::string service;
  std::uint32_t announced_slots = 0;
  bool available = false;
  bool open = false;
  bool draining = false;

  std::uint64_t last_run = 0;
  // Runs at the backend server, with one entry in each of the two indices.
  std::unordered_map<std::uint64_t, Run> runs;
  std::unordered_map<std::uint64_t, std::uint64_t> run_of_key;
  std::set<std::pair<utils::Timestamp, std::uint64_t>> run_deadlines;
  // Connections lost of late that may turn out to belong to a death.
  std::deque<LostConnection> lost_connections;
};

}  // namespace amaranthlatch::calls::details
