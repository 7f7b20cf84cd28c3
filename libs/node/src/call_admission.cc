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

CallAdmission::Outputs CallAdmission::OnCallReceived(const calls::CallReceived& event,
                                                     const Context& context) {
  calls::CallReceived call = event;
  const calls::Authorization authorization = CallAuthorizer(context.configuration).Apply(call);
  this->Count(authorization.result);
  if (authorization.Code() != utils::ErrorCode::kOk) {
    return {Refusal(call.call, authorization.Code())};
  }
  if (!this->quota || call.workspace.empty()) {
    return {calls::Event(std::move(call))};
  }
  const quota::CallArrived arrived{call.call, call.workspace};
  this->waiting_calls.emplace(arrived.call, WaitingCall{std::move(call), context.now});
  return this->Reduce(arrived, context);
}

CallAdmission::Outputs CallAdmission::OnCallerGone(const calls::CallerGone& event,
                                                   const Context& context) {
  if (this->waiting_calls.erase(event.call) == 0) {
    return {calls::Event(event)};
  }
  Outputs outputs = this->Reduce(quota::CallGone{event.call}, context);
  outputs.emplace_back(Refusal(event.call, utils::ErrorCode::kCallerGone));
  return outputs;
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
  return this->quota ? this->quota->NextWake() : std::nullopt;
}

CallAdmission::Outputs CallAdmission::Reduce(const quota::Event& event, const Context& context) {
  Outputs outputs;
  if (!this->quota) {
    return outputs;
  }
  for (quota::Effect& effect : this->quota->Reduce(event, context.now, context.members)) {
    std::visit([&](auto& value) { this->HandleEffect(std::move(value), context, outputs); },
               effect);
  }
  return outputs;
}

void CallAdmission::HandleEffect(const quota::AdmitCall& effect, const Context& context,
                                 Outputs& outputs) {
  auto waiting = this->waiting_calls.extract(effect.call);
  if (waiting.empty()) {
    return;
  }
  calls::CallReceived call = std::move(waiting.mapped().call);
  const utils::Duration waited = context.now - waiting.mapped().arrived;
  if (call.remaining) {
    *call.remaining -= waited;
  }
  this->admitted_calls.emplace(call.call, quota::CallNotRun{call.workspace, context.now});
  if (waited.count() > 0) {
    // The key may have been withdrawn while the call waited.
    const calls::Authorization authorization = CallAuthorizer(context.configuration).Apply(call);
    if (authorization.Code() != utils::ErrorCode::kOk) {
      outputs.emplace_back(Refusal(call.call, authorization.Code()));
      return;
    }
  }
  outputs.emplace_back(calls::Event(std::move(call)));
}

void CallAdmission::HandleEffect(const quota::RefuseCall& effect, const Context& /*context*/,
                                 Outputs& outputs) {
  if (this->waiting_calls.erase(effect.call) > 0) {
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
