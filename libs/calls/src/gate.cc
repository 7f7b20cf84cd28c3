// Admission, queueing and execution of calls on the backend server.

#include "gate.h"

#include <algorithm>
#include <string_view>
#include <vector>

#include "amaranthlatch/calls/message_codec.h"
#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::calls::details {

namespace {
using utils::ErrorCode;
using utils::Timestamp;

constexpr int kStatusUnavailable = 503;
constexpr std::string_view kNotRunHeader = "amaranthlatch-not-run";
constexpr std::string_view kNoRetryHeader = "amaranthlatch-no-retry";
constexpr std::string_view kTrue = "true";

const std::string* FindHeader(const HttpResponse& response, std::string_view name) {
  for (const auto& [field, value] : response.headers) {
    if (field == name) {
      return &value;
    }
  }
  return nullptr;
}

bool IsNotRunResponse(const HttpResponse& response) {
  const std::string* value = FindHeader(response, kNotRunHeader);
  return response.status == kStatusUnavailable && value != nullptr && *value == kTrue;
}

void UpdateEarliest(std::optional<Timestamp>& earliest, std::optional<Timestamp> other) {
  if (other && (!earliest || *other < *earliest)) {
    earliest = other;
  }
}
}  // namespace

Gate::Gate(SharedState& shared)
    : shared(shared),
      memory(shared.options.gate.max_tracked_attempts, shared.options.gate.refusal_filter_bits,
             shared.options.entry.max_deadline + shared.options.gate.retention_margin),
      codec(shared.options.permit_key),
      ledger(shared.options.permit),
      queue(shared.options.gate.fairness_interval),
      limit(shared.options.gate.adaptive_concurrency_limit),
      link(shared.options.gate.link_bits_per_second),
      quarantine(shared) {}

void Gate::OnRequest(const Context& context, CallRequest request) {
  const membership::Member& self = context.members.Self();
  if (request.gate_boot_id != self.boot_id) {
    // The process that the request was addressed to may have run a copy before it exited.
    ++this->shared.counters.foreign_process;
    if (!request.permit.empty()) {
      this->Reply(context, request.id, UnknownAnswer(ErrorCode::kPermitHolderGone));
    } else if (this->shared.options.gate.transport_may_duplicate) {
      this->Reply(context, request.id, UnknownAnswer(ErrorCode::kGateUnreachable));
    } else {
      this->Reply(context, request.id, NotRunAnswer(ErrorCode::kGateUnreachable));
    }
    return;
  }
  AdmittedCall call;
  call.key = KeyOf(request.id);
  const std::optional<AttemptState> known = this->memory.Find(call.key);
  if (known || this->memory.IsRefused(call.key)) {
    ++this->shared.counters.duplicates;
    const bool never_runs = !known || *known == AttemptState::kNotRun;
    // Other attempts with the same permit may have run, so only the ledger can answer for it.
    if (never_runs && request.permit.empty()) {
      this->Reply(context, request.id, NotRunAnswer(ErrorCode::kFenced));
    }
    return;
  }
  call.deadline = context.now + request.remaining;
  if (request.latency_budget.count() > 0) {
    call.latency_deadline = context.now + request.latency_budget;
  }
  call.assumed_run_time = AssumedRunTime(request);
  call.request = std::move(request);
  call.route = utils::Hash64(call.request.route);
  call.uses_link = call.request.id.entry != self.id;
  call.weight = context.WeightOf(call.request.workspace);
  call.refusable_until = RefusableUntil(call, context.now);
  if (!call.request.permit.empty() && !this->CheckPermit(context, call)) {
    return;
  }
  if (call.request.gate_incarnation != self.incarnation) {
    this->Refuse(context, call, ErrorCode::kNoBackendServer);
    return;
  }
  this->Admit(context, std::move(call));
}

ErrorCode Gate::CheckAdmission(const std::string& requested_service) const {
  if (this->draining) {
    return ErrorCode::kDraining;
  }
  if (!this->open) {
    return ErrorCode::kNodeNotReady;
  }
  if (!this->available || this->service != requested_service) {
    return ErrorCode::kNoBackendServer;
  }
  return this->memory.IsFull() ? ErrorCode::kQueueFull : ErrorCode::kOk;
}

void Gate::Admit(const Context& context, AdmittedCall call) {
  ErrorCode code = this->CheckAdmission(call.request.service);
  membership::NodeId redirect;
  if (code == ErrorCode::kOk) {
    code = this->CheckQuarantine(context, call.request.fingerprint, redirect);
  }
  if (code == ErrorCode::kOk && call.deadline <= context.now) {
    code = ErrorCode::kDeadlineExceeded;
  }
  this->UpdateSlots(context);
  const bool is_internal = call.request.priority == document::Priority::kInternal;
  if (is_internal) {
    this->internal_at = context.now;
  }
  this->NoteEmptyQueues(context.now);
  const std::size_t ahead =
      is_internal ? this->queue.Size(document::Priority::kInternal) : this->queue.Size();
  const bool has_slot = ahead == 0 && this->runs.size() < this->limit.Get() &&
                        !this->KeepsLastSlot(call.request.priority, context.now);
  if (code == ErrorCode::kOk) {
    code = this->CheckExpectedTime(context, call, has_slot);
  }
  if (code == ErrorCode::kOk && !this->MakeRoom(context, call, has_slot)) {
    code = ErrorCode::kQueueFull;
  }
  if (code != ErrorCode::kOk) {
    this->Refuse(context, call, code, redirect);
    return;
  }
  ++this->shared.counters.admitted;
  this->memory.Admit(call.key);
  if (call.uses_link) {
    this->link.OnAdmitted(call.route, call.request.priority);
  }
  if (call.permit != 0) {
    PermitRecord* record = this->ledger.Find(call.permit);
    record->state = PermitState::kPending;
    record->attempt_key = call.key;
  }
  if (has_slot) {
    this->Start(context, std::move(call));
    return;
  }
  ++this->shared.counters.queued;
  call.expiry = call.deadline;
  const auto document = context.routes.Find(this->service);
  if (!this->shared.options.gate.bound_queue_by_deadline) {
    call.expiry = Timestamp::max();
  } else if (document) {
    call.expiry = std::min(call.deadline, context.now + document->protection.queue_time);
  }
  if (call.latency_deadline != Timestamp::max()) {
    // A call dequeued later than this would be answered late.
    call.expiry = std::min(call.expiry, call.latency_deadline - this->ExpectedRunTime(call) / 2);
  }
  this->queue.Push(std::move(call));
}

void Gate::Refuse(const Context& context, const AdmittedCall& call, ErrorCode code,
                  membership::NodeId redirect) {
  ++this->shared.counters.refused;
  this->shared.counters.refused_link_busy += code == ErrorCode::kLinkBusy ? 1 : 0;
  this->memory.Refuse(call.key);
  if (call.permit != 0) {
    this->InvalidatePermit(context, call.permit, NotRunAnswer(code));
  }
  const Share share = ShareOf(call);
  this->Reply(context, call.request.id, NotRunAnswer(code), std::move(redirect), &share);
}

void Gate::Drop(const Context& context, const AdmittedCall& call, ErrorCode code,
                membership::NodeId redirect) {
  ++this->shared.counters.dropped_from_queue;
  this->shared.counters.withdrawn += call.answer_by != Timestamp::max() ? 1 : 0;
  const std::optional<AttemptState> state = this->memory.Find(call.key);
  this->shared.Require(state == AttemptState::kQueued, "P5: dropped call was not queued");
  this->memory.Finish(call.key, false, context.now);
  if (call.uses_link) {
    this->link.OnEnded(call.route, call.request.priority, 0, context.now);
  }
  if (call.permit != 0) {
    this->InvalidatePermit(context, call.permit, NotRunAnswer(code));
  }
  const Share share = ShareOf(call);
  this->Reply(context, call.request.id, NotRunAnswer(code), std::move(redirect), &share);
}

void Gate::Start(const Context& context, AdmittedCall call) {
  const std::uint32_t slots = this->limit.Get();
  this->shared.Require(this->runs.size() < slots,
                       "gate: number of runs exceeds the concurrency limit");
  const std::optional<AttemptState> state = this->memory.Find(call.key);
  this->shared.Require(state == AttemptState::kQueued, "P6: attempt was started twice");
  if (call.permit != 0) {
    PermitRecord* record = this->ledger.Find(call.permit);
    const bool first = record != nullptr && record->state == PermitState::kPending && !record->ran;
    this->shared.Require(first, "P6: permit was used for two runs");
    if (first) {
      record->ran = true;
    }
  }
  ++this->shared.counters.runs;
  this->memory.SetRunning(call.key);
  const std::uint64_t run_id = ++this->last_run_id;
  Run run;
  run.id = call.request.id;
  run.share = ShareOf(call);
  run.key = call.key;
  run.fingerprint = call.request.fingerprint;
  run.permit = call.permit;
  run.max_response_bytes = call.request.max_response_bytes;
  run.body_bytes = call.request.request.body.size();
  run.started = context.now;
  run.deadline = call.deadline;
  run.route = call.route;
  run.priority = call.request.priority;
  run.uses_link = call.uses_link;
  this->slot_use.OnStarted(run.priority, context.now);
  run.is_trial =
      this->quarantine.StateOf(this->service, run.fingerprint) == QuarantineState::kSuspect;
  this->running_bytes += run.body_bytes;
  this->runs.emplace(run_id, std::move(run));
  this->run_by_key.emplace(call.key, run_id);
  this->run_deadlines.emplace(call.deadline, run_id);
  context.effects.emplace_back(
      RunOnBackendServer{run_id, std::move(call.request.route), std::move(call.request.request),
                         call.deadline - context.now, call.request.idempotent,
                         call.request.max_response_bytes, std::move(call.request.workspace)});
}

void Gate::UpdateSlots(const Context& context) {
  const auto document = context.routes.Find(this->service);
  const std::uint32_t allowed = document ? document->protection.slots : this->announced_slots;
  this->limit.SetSlots(std::min(allowed, this->announced_slots));
}

void Gate::DispatchQueued(const Context& context) {
  if (!this->available || !this->open || this->queue.Size() == 0) {
    return;
  }
  this->UpdateSlots(context);
  while (this->runs.size() < this->limit.Get()) {
    if (this->queue.Size(document::Priority::kInternal) == 0 &&
        this->KeepsLastSlot(document::Priority::kBatch, context.now)) {
      return;
    }
    std::optional<AdmittedCall> call = this->queue.Pop();
    if (!call) {
      return;
    }
    membership::NodeId redirect;
    const ErrorCode code = this->CheckQuarantine(context, call->request.fingerprint, redirect);
    if (code == ErrorCode::kOk) {
      this->Start(context, std::move(*call));
    } else {
      this->Drop(context, *call, code, std::move(redirect));
    }
  }
}

void Gate::Advance(const Context& context) {
  this->memory.Expire(context.now);
  this->ledger.Expire(context.now);
  this->quarantine.Expire(context);
  while (std::optional<AdmittedCall> call = this->queue.PopExpired(context.now)) {
    const bool deadline_passed = call->deadline <= context.now;
    this->Drop(context, *call,
               deadline_passed ? ErrorCode::kDeadlineExceeded : ErrorCode::kQueueFull);
  }
  while (!this->run_deadlines.empty() && this->run_deadlines.begin()->first <= context.now) {
    const std::uint64_t run_id = this->run_deadlines.begin()->second;
    this->run_deadlines.erase(this->run_deadlines.begin());
    this->Cancel(context, run_id, ErrorCode::kDeadlineExceeded);
  }
  this->DispatchQueued(context);
  this->NoteEmptyQueues(context.now);
  this->RefuseLateCalls(context);
}

void Gate::Cancel(const Context& context, std::uint64_t run_id, ErrorCode reason) {
  Run& run = this->runs.at(run_id);
  if (run.cancelled != ErrorCode::kOk) {
    return;
  }
  run.cancelled = reason;
  ++this->shared.counters.cancelled_runs;
  context.effects.emplace_back(CancelOnBackendServer{run_id});
}

void Gate::OnCancel(const Context& context, const CallCancel& cancel) {
  if (cancel.gate_boot_id != context.members.Self().boot_id) {
    // This process does not know whether its predecessor ran the attempt.
    ++this->shared.counters.foreign_process;
    context.Send(cancel.id.entry, CallCancelReply{cancel.id, true, false});
    return;
  }
  const std::uint64_t key = KeyOf(cancel.id);
  const std::optional<AttemptState> state = this->memory.Find(key);
  CallCancelReply reply{cancel.id, false, false};
  if (!state) {
    this->memory.Refuse(key);
    ++this->shared.counters.fenced;
  } else if (*state == AttemptState::kQueued && cancel.abort) {
    this->Drop(context, *this->queue.Remove(key), ErrorCode::kDeadlineExceeded);
  } else if (*state == AttemptState::kQueued) {
    // The call stays queued: without `abort` the entry node only asks whether the request arrived,
    // or until when it can take the answer.
    if (cancel.answer_within) {
      this->LimitQueued(key, context.now + *cancel.answer_within);
    }
    reply.ran = true;
    reply.running = true;
  } else if (*state == AttemptState::kRunning) {
    reply.ran = true;
    reply.running = true;
    const std::uint64_t run_id = this->run_by_key.at(key);
    const std::uint64_t permit = this->runs.at(run_id).permit;
    const PermitRecord* record = permit == 0 ? nullptr : this->ledger.Find(permit);
    // Copies that arrived through other nodes are still waiting for the answer.
    if (cancel.abort && (record == nullptr || record->waiting.empty())) {
      this->Cancel(context, run_id, ErrorCode::kCallerGone);
    }
  } else {
    reply.ran = *state == AttemptState::kRan;
  }
  context.Send(cancel.id.entry, reply);
}

std::optional<Gate::Run> Gate::RemoveRun(std::uint64_t run_id, Timestamp now) {
  const auto found = this->runs.find(run_id);
  if (found == this->runs.end()) {
    return std::nullopt;
  }
  Run run = std::move(found->second);
  run.saturated = this->runs.size() >= this->limit.Get();
  this->runs.erase(found);
  this->running_bytes -= run.body_bytes;
  this->slot_use.OnEnded(run.priority, now);
  this->run_by_key.erase(run.key);
  this->run_deadlines.erase({run.deadline, run_id});
  return run;
}

void Gate::OnAnswered(const Context& context, const BackendServerAnswered& answered) {
  const std::optional<Run> run = this->RemoveRun(answered.run, context.now);
  if (!run) {
    return;
  }
  const HttpResponse& response = answered.response;
  if (response.status != kStatusUnavailable) {
    this->limit.OnCompleted(context.now - run->started, run->saturated, context.now);
    this->service_times.Record(run->route, context.now - run->started);
    this->speed.Record(run->route, context.now - run->started);
  } else if (this->limit.OnShed(context.now)) {
    ++this->shared.counters.limit_decreases;
  }
  Answer answer;
  const bool refused = IsNotRunResponse(response);
  if (refused) {
    answer = NotRunAnswer(ErrorCode::kBackendShed);
  } else if (response.body.size() > run->max_response_bytes || !FitsMessage(response)) {
    answer = UnknownAnswer(ErrorCode::kAnswerTooLarge);
  } else {
    answer.kind = ResultKind::kAnswered;
    answer.response = response;
    this->link.RecordAnswerSize(run->route, response.body.size());
  }
  answer.no_retry = FindHeader(response, kNoRetryHeader) != nullptr;
  if (!refused) {
    this->quarantine.ReportCompleted(context, this->service, run->fingerprint);
  }
  this->Finish(context, *run, answer, !refused);
}

void Gate::Finish(const Context& context, const Run& run, const Answer& answer, bool ran) {
  this->shared.Require(!ran || answer.kind != ResultKind::kNotRun,
                       "P5: \"not run\" reported for a request that the backend server received");
  this->memory.Finish(run.key, ran, context.now);
  if (run.uses_link) {
    this->link.OnEnded(run.route, run.priority, answer.response.body.size(), context.now);
  }
  this->Reply(context, run.id, answer, {}, &run.share);
  if (run.permit != 0 && ran) {
    this->FinishPermit(context, run.permit, answer);
  } else if (run.permit != 0) {
    this->InvalidatePermit(context, run.permit, answer);
  }
}

void Gate::OnBackendServer(const Context& context, const BackendServerChanged& changed) {
  this->service = changed.service;
  this->announced_slots = changed.slots;
  this->available = changed.available && !changed.service.empty();
  this->UpdateSlots(context);
  if (!this->available) {
    while (std::optional<AdmittedCall> call = this->queue.Pop()) {
      this->Drop(context, *call, ErrorCode::kNoBackendServer);
    }
  }
}

void Gate::Reply(const Context& context, const AttemptId& id, Answer answer,
                 membership::NodeId redirect, const Share* share) const {
  CallReply reply;
  reply.id = id;
  reply.answer = std::move(answer);
  this->DescribeLoad(reply, share, context.now);
  reply.redirect = std::move(redirect);
  context.Send(id.entry, std::move(reply));
}

std::optional<Timestamp> Gate::NextWake() const {
  std::optional<Timestamp> next = this->queue.NextExpiry();
  if (!this->run_deadlines.empty()) {
    UpdateEarliest(next, this->run_deadlines.begin()->first);
  }
  UpdateEarliest(next, this->quarantine.NextExpiry());
  if (this->review_due) {
    UpdateEarliest(next, this->next_review);
  }
  return next;
}

void Gate::FillGauges(Gauges& gauges) const {
  gauges.in_flight = static_cast<std::uint32_t>(this->runs.size());
  gauges.queued = static_cast<std::uint32_t>(this->queue.Size());
  gauges.concurrency_limit = this->limit.Get();
  gauges.suspects = static_cast<std::uint32_t>(this->quarantine.Size());
}

}  // namespace amaranthlatch::calls::details
