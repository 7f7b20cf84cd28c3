// Permit requests of callers. A repeated one costs an unused permit and does no harm.

#include "permit_client.h"

#include "permit_codec.h"

namespace amaranthlatch::calls::details {

using utils::ErrorCode;

void PermitClient::OnAsked(const Context& context, const PermitAsked& asked, ErrorCode admission) {
  ++this->shared.counters.permits_asked;
  if (admission == ErrorCode::kOk &&
      this->asks.size() >= this->shared.options.entry.max_open_permit_requests) {
    admission = ErrorCode::kTooManyConnections;
  }
  if (admission != ErrorCode::kOk) {
    this->Answer(context, asked.request, admission);
    return;
  }
  const auto match = context.routes.Match(asked.host, asked.path, asked.method);
  if (!match) {
    this->Answer(context, asked.request, ErrorCode::kNoRoute);
    return;
  }
  this->AskGate(context, Ask{asked.request, *match, {}, {}}, ErrorCode::kNoBackendServer);
}

void PermitClient::AskGate(const Context& context, Ask ask, ErrorCode last_failure) {
  const membership::Member* gate = nullptr;
  if (ask.gates.size() < this->shared.options.entry.permit_attempts) {
    std::optional<std::size_t> target;
    gate = this->balancer.Choose(context, *ask.match.route, ask.gates, target);
  }
  if (gate == nullptr) {
    this->Answer(context, ask.request, last_failure);
    return;
  }
  const std::uint64_t number = ++this->last_number;
  ask.gates.push_back(gate->id);
  ask.timeout = context.now + this->shared.options.entry.permit_reply_timeout;
  context.Send(gate->id,
               PermitRequest{number, gate->service,
                             QualifiedRoute(ask.match.document->service, ask.match.route->name)});
  this->timers.emplace(ask.timeout, number);
  this->asks.emplace(number, std::move(ask));
}

std::optional<PermitClient::Ask> PermitClient::Take(std::uint64_t number) {
  const auto found = this->asks.find(number);
  if (found == this->asks.end()) {
    return std::nullopt;
  }
  Ask ask = std::move(found->second);
  this->timers.erase({ask.timeout, number});
  this->asks.erase(found);
  return ask;
}

void PermitClient::OnReply(const Context& context, const PermitReply& reply) {
  std::optional<Ask> ask = this->Take(reply.request);
  if (!ask) {
    return;
  }
  if (reply.code == ErrorCode::kOk) {
    this->Answer(context, ask->request, ErrorCode::kOk, reply);
  } else {
    this->AskGate(context, std::move(*ask), reply.code);
  }
}

void PermitClient::OnPeerUnreachable(const Context& context, const membership::NodeId& id) {
  std::vector<std::uint64_t> lost;
  for (const auto& [number, ask] : this->asks) {
    if (ask.gates.back() == id) {
      lost.push_back(number);
    }
  }
  for (const std::uint64_t number : lost) {
    this->AskGate(context, *this->Take(number), ErrorCode::kGateUnreachable);
  }
}

void PermitClient::Advance(const Context& context) {
  while (!this->timers.empty() && this->timers.begin()->first <= context.now) {
    std::optional<Ask> ask = this->Take(this->timers.begin()->second);
    this->AskGate(context, std::move(*ask), ErrorCode::kGateUnreachable);
  }
}

void PermitClient::Answer(const Context& context, std::uint64_t request, ErrorCode code,
                          const PermitReply& reply) {
  context.effects.emplace_back(AnswerPermit{request, code, reply.permit, reply.expires_in_ms});
}

std::optional<utils::Timestamp> PermitClient::NextWake() const {
  if (this->timers.empty()) {
    return std::nullopt;
  }
  return this->timers.begin()->first;
}

}  // namespace amaranthlatch::calls::details
