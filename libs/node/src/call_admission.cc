// Keys and quotas of calls.

#include "call_admission.h"

#include <memory>
#include <utility>

#include "call_authorizer.h"
#include "wake_time.h"

namespace amaranthlatch::node::details {

namespace {

// The answer to a call that was not passed on.
calls::AnswerCaller Refusal(std::uint64_t call, utils::ErrorCode code,
                            std::optional<utils::Duration> retry_after = std::nullopt) {
  calls::Answer refusal;
  refusal.kind = calls::ResultKind::kNotRun;
  refusal.code = code;
  refusal.message = utils::ToString(code);
  refusal.retry_after = retry_after;
  return {call, std::move(refusal)};
}

}  // namespace

CallAdmission::Outputs CallAdmission::OnWakeUp(const Context& context) {
  if (!IsDue(this->NextWake(), context.now)) {
    return {};
  }
  return this->Reduce(quota::WakeUp{}, context);
}

CallAdmission::Outputs CallAdmission::RefuseExpired(const Context& context) {
  Outputs outputs;
  while (const auto expired = this->waiting_calls.FindExpired(context.now)) {
    this->RefuseWaiting(*expired, utils::ErrorCode::kDeadlineExceeded, context, outputs);
  }
  return outputs;
}

CallAdmission::Outputs CallAdmission::CloseIntake(const Context& context) {
  this->intake_closed = true;
  Outputs outputs;
  for (const std::uint64_t call : this->waiting_calls.Numbers()) {
    this->RefuseWaiting(call, utils::ErrorCode::kDraining, context, outputs);
  }
  return outputs;
}

CallAdmission::Outputs CallAdmission::OnCallReceived(const calls::CallReceived& event,
                                                     const Context& context) {
  calls::CallReceived call = event;
  const calls::Authorization authorization = CallAuthorizer(context.configuration).Apply(call);
  this->Count(authorization.result);
  if (authorization.Code() != utils::ErrorCode::kOk) {
    return {Refusal(call.call, authorization.Code())};
  }
  Outputs outputs;
  this->Accept(std::move(call), context, outputs);
  return outputs;
}

void CallAdmission::Accept(calls::CallReceived call, const Context& context, Outputs& outputs) {
  if (!this->quota || call.workspace.empty() || this->intake_closed) {
    outputs.emplace_back(calls::Event(std::move(call)));
    return;
  }
  const quota::CallArrived arrived{call.call, call.workspace};
  this->waiting_calls.Add({std::move(call), context.now, context.configuration->GetVersion()});
  this->Reduce(arrived, context, outputs);
}

CallAdmission::Outputs CallAdmission::OnCallerGone(const calls::CallerGone& event,
                                                   const Context& context) {
  Outputs outputs;
  if (!this->RefuseWaiting(event.call, utils::ErrorCode::kCallerGone, context, outputs)) {
    outputs.emplace_back(calls::Event(event));
  }
  return outputs;
}

bool CallAdmission::RefuseWaiting(std::uint64_t call, utils::ErrorCode code, const Context& context,
                                  Outputs& outputs) {
  if (!this->waiting_calls.Take(call, context.now)) {
    return false;
  }
  this->Reduce(quota::CallGone{call}, context, outputs);
  outputs.emplace_back(Refusal(call, code));
  return true;
}

CallAdmission::Outputs CallAdmission::OnMessage(const membership::NodeId& from,
                                                const quota::Message& message,
                                                const Context& context) {
  return this->Reduce(quota::PeerMessage{from, message}, context);
}

CallAdmission::Outputs CallAdmission::OnPeerUnreachable(const membership::NodeId& id,
                                                        const Context& context) {
  return this->Reduce(quota::PeerUnreachable{id}, context);
}

void CallAdmission::OnMembersRead(const std::vector<membership::Member>& members,
                                  const membership::MemberView& view) {
  const membership::Member& self = view.Self();
  for (const membership::Member& member : members) {
    this->was_listed = this->was_listed || (member.id == self.id && member.boot_id != self.boot_id);
  }
}

CallAdmission::Outputs CallAdmission::OnMemberWritten(const Context& context) {
  if (std::exchange(this->is_listed, true)) {
    return {};
  }
  return this->Reduce(quota::MembersListed{this->was_listed}, context);
}

void CallAdmission::OnAnswered(const calls::AnswerCaller& effect) {
  const auto admitted = this->admitted_calls.find(effect.call);
  if (admitted == this->admitted_calls.end()) {
    return;
  }
  if (effect.answer.kind == calls::ResultKind::kNotRun) {
    this->unused_credit.push_back(admitted->second);
  }
  this->admitted_calls.erase(admitted);
}

CallAdmission::Outputs CallAdmission::UpdateLimits(const Context& context) {
  if (!this->quota || !std::exchange(this->limits_changed, false) ||
      context.configuration == nullptr ||
      context.configuration->GetWorkspaces() == this->limited_workspaces) {
    return {};
  }
  this->limited_workspaces = context.configuration->GetWorkspaces();
  auto limits = std::make_shared<quota::Limits>();
  if (this->limited_workspaces != nullptr) {
    for (const auto& workspace : this->limited_workspaces->All()) {
      if (workspace->rate > 0.0) {
        limits->emplace(workspace->name, quota::Limit{workspace->rate, workspace->burst});
      }
    }
  }
  return this->Reduce(quota::LimitsChanged{std::move(limits)}, context);
}

CallAdmission::Outputs CallAdmission::ReturnCredit(const Context& context) {
  Outputs outputs;
  for (const quota::CallNotRun& unused : std::exchange(this->unused_credit, {})) {
    for (Output& output : this->Reduce(unused, context)) {
      outputs.push_back(std::move(output));
    }
  }
  return outputs;
}

std::optional<utils::Timestamp> CallAdmission::NextWake() const {
  const auto deadline = this->waiting_calls.NextDeadline();
  return this->quota ? Earlier(this->quota->NextWake(), deadline) : deadline;
}

CallAdmission::Outputs CallAdmission::Reduce(const quota::Event& event, const Context& context) {
  Outputs outputs;
  this->Reduce(event, context, outputs);
  return outputs;
}

void CallAdmission::Reduce(const quota::Event& event, const Context& context, Outputs& outputs) {
  if (!this->quota) {
    return;
  }
  for (quota::Effect& effect : this->quota->Reduce(event, context.now, context.members)) {
    std::visit([&](auto& value) { this->HandleEffect(std::move(value), context, outputs); },
               effect);
  }
}

void CallAdmission::HandleEffect(const quota::AdmitCall& effect, const Context& context,
                                 Outputs& outputs) {
  auto waiter = this->waiting_calls.Take(effect.call, context.now);
  if (!waiter) {
    return;
  }
  calls::CallReceived call = std::move(waiter->call);
  const quota::CallNotRun unused{call.workspace, context.now};
  if (waiter->version != context.configuration->GetVersion()) {
    // The key may have been withdrawn, or may belong to another workspace now.
    const calls::Authorization authorization = CallAuthorizer(context.configuration).Apply(call);
    if (authorization.Code() != utils::ErrorCode::kOk) {
      this->unused_credit.push_back(unused);
      outputs.emplace_back(Refusal(call.call, authorization.Code()));
      return;
    }
    if (call.workspace != unused.workspace) {
      this->unused_credit.push_back(unused);
      this->Accept(std::move(call), context, outputs);
      return;
    }
  }
  this->admitted_calls.emplace(call.call, unused);
  outputs.emplace_back(calls::Event(std::move(call)));
}

void CallAdmission::HandleEffect(const quota::RefuseCall& effect, const Context& context,
                                 Outputs& outputs) {
  if (this->waiting_calls.Take(effect.call, context.now)) {
    outputs.emplace_back(
        Refusal(effect.call, utils::ErrorCode::kQuotaExceeded, effect.retry_after));
  }
}

void CallAdmission::HandleEffect(quota::SendMessage effect, const Context& /*context*/,
                                 Outputs& outputs) {
  outputs.emplace_back(SendMessage{std::move(effect.to), std::move(effect.message)});
}

void CallAdmission::HandleEffect(quota::LimitStateChanged effect, const Context& /*context*/,
                                 Outputs& outputs) {
  outputs.emplace_back(std::move(effect));
}

void CallAdmission::Count(calls::AuthorizationResult result) {
  switch (result) {
    case calls::AuthorizationResult::kUnchecked:
      break;
    case calls::AuthorizationResult::kPublic:
      ++this->authorizations.on_public_route;
      break;
    case calls::AuthorizationResult::kKnown:
      ++this->authorizations.known;
      break;
    case calls::AuthorizationResult::kUnknown:
      ++this->authorizations.unknown;
      break;
  }
}

}  // namespace amaranthlatch::node::details
