// Permit requests of callers. Repeating a request is safe: it only leaves an unused permit behind.

#include "permit_client.h"

#include "permit_codec.h"

namespace amaranthlatch::calls::details {

using utils::ErrorCode;

void PermitClient::OnAsked(const Context& context, const PermitAsked& asked, ErrorCode admission) {
  ++this->shared.counters.permits_asked;
  if (admission == ErrorCode::kOk &&
      this->open_requests.size() >= this->shared.options.entry.max_open_permit_requests) {
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
  this->SendToNextGate(context, OpenRequest{asked.request, *match, {}, {}},
                       ErrorCode::kNoBackendServer);
}

void PermitClient::SendToNextGate(const Context& context, OpenRequest open,
                                  ErrorCode last_failure) {
  const membership::Member* gate = nullptr;
  if (open.gates.size() < this->shared.options.entry.permit_attempts) {
    std::optional<std::size_t> target;
    gate = this->balancer.Choose(context, *open.match.route, open.gates, target);
  }
  if (gate == nullptr) {
    this->Answer(context, open.request, last_failure);
    return;
  }
  const std::uint64_t request_id = ++this->last_request_id;
  open.gates.push_back(gate->id);
  open.timeout = context.now + this->shared.options.entry.permit_reply_timeout;
  context.Send(gate->id,
               PermitRequest{request_id, gate->service,
                             QualifiedRoute(open.match.document->service, open.match.route->name)});
  this->timers.emplace(open.timeout, request_id);
  this->open_requests.emplace(request_id, std::move(open));
}

std::optional<PermitClient::OpenRequest> PermitClient::RemoveRequest(std::uint64_t request_id) {
  const auto found = this->open_requests.find(request_id);
  if (found == this->open_requests.end()) {
    return std::nullopt;
  }
  OpenRequest open = std::move(found->second);
  this->timers.erase({open.timeout, request_id});
  this->open_requests.erase(found);
  return open;
}

void PermitClient::OnReply(const Context& context, const PermitReply& reply) {
  std::optional<OpenRequest> open = this->RemoveRequest(reply.request);
  if (!open) {
    return;
  }
  if (reply.code == ErrorCode::kOk) {
    this->Answer(context, open->request, ErrorCode::kOk, reply);
  } else {
    this->SendToNextGate(context, std::move(*open), reply.code);
  }
}

void PermitClient::OnPeerUnreachable(const Context& context, const membership::NodeId& id) {
  std::vector<std::uint64_t> lost;
  for (const auto& [request_id, open] : this->open_requests) {
    if (open.gates.back() == id) {
      lost.push_back(request_id);
    }
  }
  for (const std::uint64_t request_id : lost) {
    this->SendToNextGate(context, *this->RemoveRequest(request_id), ErrorCode::kGateUnreachable);
  }
}

void PermitClient::Advance(const Context& context) {
  while (!this->timers.empty() && this->timers.begin()->first <= context.now) {
    std::optional<OpenRequest> open = this->RemoveRequest(this->timers.begin()->second);
    this->SendToNextGate(context, std::move(*open), ErrorCode::kGateUnreachable);
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
