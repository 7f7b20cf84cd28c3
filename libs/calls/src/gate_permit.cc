// Permit handling at the gate: issuing, checking and answering repeated uses.

#include <algorithm>

#include "amaranthlatch/utils/hash.h"
#include "gate.h"

namespace amaranthlatch::calls::details {

namespace {
using utils::ErrorCode;

// Excludes header fields, because intermediate nodes may add some.
std::uint64_t RequestHash(const HttpRequest& request) {
  std::uint64_t hash = utils::Hash64(request.method);
  hash = utils::Hash64(request.target, hash);
  hash = utils::Hash64(request.host, hash);
  return utils::Hash64(request.body, hash);
}
}  // namespace

void Gate::OnPermitRequest(const Context& context, const membership::NodeId& from,
                           const PermitRequest& request) {
  PermitReply reply;
  reply.request = request.request;
  reply.code = this->CheckAdmission(request.service);
  if (reply.code == ErrorCode::kOk) {
    const std::optional<std::uint64_t> sequence = this->ledger.Issue(context.now);
    if (sequence) {
      ++this->shared.counters.permits_issued;
      const membership::Member& self = context.members.Self();
      reply.permit = this->codec.Encode(Permit{request.service, request.route, self.id,
                                               self.incarnation, self.boot_id, *sequence});
      reply.expires_in_ms =
          static_cast<std::uint32_t>(utils::ToMilliseconds(this->shared.options.permit.lifetime));
    } else {
      reply.code = ErrorCode::kQueueFull;
    }
  }
  context.Send(from, std::move(reply));
}

bool Gate::CheckPermit(const Context& context, AdmittedCall& call) {
  const AttemptId& id = call.request.id;
  const membership::Member& self = context.members.Self();
  const std::optional<Permit> permit = this->codec.Decode(call.request.permit);
  if (!permit) {
    this->Refuse(context, call, ErrorCode::kPermitInvalid);
    return false;
  }
  if (permit->gate != self.id || permit->boot != self.boot_id) {
    this->Reply(context, id, UnknownAnswer(ErrorCode::kPermitHolderGone));
    return false;
  }
  PermitRecord* record = this->ledger.Find(permit->sequence);
  if (record == nullptr) {
    this->Reply(context, id, UnknownAnswer(ErrorCode::kPermitExpired));
    return false;
  }
  if (record->state == PermitState::kInvalid) {
    this->Refuse(context, call, ErrorCode::kPermitInvalid);
    return false;
  }
  if (record->state != PermitState::kUnused) {
    this->ReplyToUsedPermit(context, *record, call);
    return false;
  }
  call.permit = permit->sequence;
  if (this->ledger.IsExpired(*record, context.now)) {
    this->Refuse(context, call, ErrorCode::kPermitExpired);
    return false;
  }
  if (permit->incarnation != self.incarnation || permit->service != call.request.service ||
      permit->route != call.request.route) {
    this->Refuse(context, call, ErrorCode::kPermitInvalid);
    return false;
  }
  record->request_hash = RequestHash(call.request.request);
  return true;
}

void Gate::ReplyToUsedPermit(const Context& context, PermitRecord& record,
                             const AdmittedCall& call) {
  if (record.request_hash != RequestHash(call.request.request)) {
    this->Refuse(context, call, ErrorCode::kPermitRequestMismatch);
    return;
  }
  if (record.state == PermitState::kPending) {
    this->WaitForAnswer(context, record, call);
    return;
  }
  if (!record.answer) {
    this->Reply(context, call.request.id, UnknownAnswer(ErrorCode::kAnswerDropped));
    return;
  }
  ++this->shared.counters.permit_answers_repeated;
  this->Reply(context, call.request.id, *record.answer);
}

void Gate::WaitForAnswer(const Context& context, PermitRecord& record, const AdmittedCall& call) {
  const AttemptId& id = call.request.id;
  const bool already_waiting = std::any_of(record.waiting.begin(), record.waiting.end(),
                                           [&id](const AttemptId& other) { return other == id; });
  if (already_waiting) {
    return;
  }
  if (record.waiting.size() >= this->shared.options.permit.max_waiting_copies) {
    this->Reply(context, id, UnknownAnswer(ErrorCode::kQueueFull));
    return;
  }
  record.waiting.push_back(id);
  const auto running = this->run_by_key.find(record.attempt_key);
  if (running == this->run_by_key.end()) {
    return;
  }
  // The run may continue until the latest deadline of all copies.
  Run& run = this->runs.at(running->second);
  if (call.deadline > run.deadline && run.cancelled == ErrorCode::kOk) {
    this->run_deadlines.erase({run.deadline, running->second});
    run.deadline = call.deadline;
    this->run_deadlines.emplace(run.deadline, running->second);
  }
}

void Gate::InvalidatePermit(const Context& context, std::uint64_t sequence, const Answer& answer) {
  PermitRecord* record = this->ledger.Find(sequence);
  if (record == nullptr) {
    return;
  }
  // "Not run" guarantees that no later copy runs either.
  record->state = PermitState::kInvalid;
  for (const AttemptId& id : record->waiting) {
    this->Reply(context, id, answer);
  }
  record->waiting.clear();
}

void Gate::FinishPermit(const Context& context, std::uint64_t sequence, const Answer& answer) {
  PermitRecord* record = this->ledger.Find(sequence);
  if (record == nullptr) {
    return;
  }
  for (const AttemptId& id : record->waiting) {
    ++this->shared.counters.permit_answers_repeated;
    this->Reply(context, id, answer);
  }
  this->ledger.Finish(sequence, answer, context.now);
}

}  // namespace amaranthlatch::calls::details
