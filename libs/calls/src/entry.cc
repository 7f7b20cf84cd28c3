// Admission, attempts and completion of calls on the entry side.

#include "entry.h"

#include <algorithm>

#include "amaranthlatch/calls/message_codec.h"
#include "quarantine.h"

namespace amaranthlatch::calls::details {

namespace {
using utils::Duration;
using utils::ErrorCode;
using utils::Timestamp;

constexpr Duration kMinLatencyBudget = utils::Milliseconds(20);
// A second attempt is sent while it can still be answered within the target latency, but not before
// the first one has taken longer than most calls of the route do; both in mean service times.
constexpr double kHedgeReserve = 1.2;
constexpr double kMinHedgeDelay = 1.5;

std::uint64_t SizeOf(const Headers& headers) {
  std::uint64_t bytes = 0;
  for (const auto& [name, value] : headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

std::uint64_t SizeOf(const HttpRequest& request) {
  return request.target.size() + request.host.size() + request.body.size() +
         SizeOf(request.headers);
}

Balancer::Demand DemandOf(const OpenCall& call) {
  Balancer::Demand demand;
  demand.priority = PriorityOf(call);
  demand.route = RouteKeyOf(call);
  demand.workspace = call.workspace;
  return demand;
}

bool HasOpenAttempt(const OpenCall& call) {
  return std::any_of(call.attempts.begin(), call.attempts.end(),
                     [](const Attempt& a) { return a.stage == AttemptStage::kOpen; });
}

bool MayHaveRun(const OpenCall& call) {
  return std::any_of(call.attempts.begin(), call.attempts.end(),
                     [](const Attempt& a) { return a.stage != AttemptStage::kNotRun; });
}
}  // namespace

document::Priority PriorityOf(const OpenCall& call) {
  const auto of_route = call.match ? call.match->route->priority : document::Priority::kNormal;
  return call.priority.value_or(of_route);
}

const std::string& TargetServiceOf(const OpenCall& call) {
  const document::RouteMatch& match = *call.match;
  return call.target ? match.route->split[*call.target].service : match.document->service;
}

RouteKey RouteKeyOf(const OpenCall& call) {
  return call.match ? RouteKeyOf(*call.match->route) : RouteKey{0};
}

Entry::Entry(SharedState& shared, Balancer& balancer)
    : shared(shared),
      balancer(balancer),
      codec(shared.options.permit_key),
      budget(shared.options.entry) {}

OpenCall Entry::MakeCall(const Context& context, const CallReceived& received) const {
  OpenCall call;
  call.call = received.call;
  call.request = received.request;
  call.request_bytes = SizeOf(received.request) + SizeOf(received.credentials);
  call.credentials = received.credentials;
  call.credentials_forwarded = received.credentials_forwarded;
  call.key = received.key;
  call.workspace = received.workspace;
  call.priority = received.priority;
  call.permit_token = received.permit;
  if (!received.permit.empty()) {
    call.permit = this->codec.Decode(received.permit);
  }
  call.match =
      context.routes.Match(received.request.host, received.request.target, received.request.method);
  Duration remaining = this->shared.options.entry.max_deadline;
  if (call.match) {
    const document::Protection& protection = call.match->document->protection;
    remaining = std::min(remaining, call.match->route->deadline);
    call.idempotent = call.match->route->idempotent;
    const std::uint32_t route_max_attempts = call.match->route->max_attempts;
    call.max_attempts = std::max<std::uint32_t>(
        1, route_max_attempts != 0 ? route_max_attempts : protection.max_attempts);
    call.budget_service = call.match->document->service;
    // An internal call is part of another call, which fails without it after its work was done: it
    // may wait until its deadline.
    if (call.match->route->target_latency.count() > 0 &&
        PriorityOf(call) != document::Priority::kInternal) {
      call.latency_deadline = context.now + call.match->route->target_latency;
    }
  }
  if (received.remaining) {
    remaining = std::min(remaining, *received.remaining);
  }
  call.deadline = context.now + remaining;
  call.move_deadline = MoveDeadlineOf(call, context.now);
  return call;
}

ErrorCode Entry::CheckAdmission(const CallReceived& received, const OpenCall& call) const {
  if (this->draining) {
    return ErrorCode::kDraining;
  }
  if (!this->open) {
    return ErrorCode::kNodeNotReady;
  }
  const EntryOptions& options = this->shared.options.entry;
  if (this->calls.size() >= options.max_open_calls ||
      this->open_bytes + call.request_bytes > options.max_open_bytes) {
    return ErrorCode::kTooManyConnections;
  }
  if (received.remaining && received.remaining->count() <= 0) {
    return ErrorCode::kDeadlineExceeded;
  }
  if (!FitsMessage(received.request)) {
    return ErrorCode::kRequestTooLarge;
  }
  if (!received.permit.empty()) {
    // Regardless of the current routes, only the gate of the permit knows whether its request ran.
    return call.permit ? ErrorCode::kOk : ErrorCode::kPermitInvalid;
  }
  if (!call.match) {
    return ErrorCode::kNoRoute;
  }
  if (call.match->route->permit_required) {
    return ErrorCode::kPermitRequired;
  }
  return received.request.body.size() > call.match->route->max_request_bytes
             ? ErrorCode::kRequestTooLarge
             : ErrorCode::kOk;
}

void Entry::OnCall(const Context& context, const CallReceived& received) {
  ++this->shared.counters.calls;
  const bool is_new = !this->calls.contains(received.call);
  this->shared.Require(is_new, "entry: a call number is used twice");
  if (!is_new) {
    return;
  }
  auto owned = std::make_unique<OpenCall>(this->MakeCall(context, received));
  OpenCall& call = *owned;
  const ErrorCode code = this->CheckAdmission(received, call);
  this->calls.emplace(received.call, std::move(owned));
  this->open_bytes += call.request_bytes;
  this->timers.emplace(call.wake, call.call);
  if (code != ErrorCode::kOk) {
    call.failure = NotRunAnswer(code);
    this->Fail(context, call);
    return;
  }
  if (call.match && call.match->route->strict_split) {
    // Calls of a strict split never move to another target, so retries are charged to the service
    // of this target.
    call.target = this->balancer.DrawTarget(*call.match->route);
    call.budget_service =
        call.target ? call.match->route->split[*call.target].service : call.budget_service;
  }
  if (call.match) {
    this->budget.OnCall(call.budget_service, PriorityOf(call),
                        call.match->document->protection.retry_budget_percent,
                        context.members.Size(), context.now);
  }
  this->SendAttempt(context, call);
}

const membership::Member* Entry::ChooseGate(const Context& context, OpenCall& call) {
  if (call.permit) {
    const membership::Member* gate = context.members.Find(call.permit->gate);
    const bool same_process = gate != nullptr && gate->boot_id == call.permit->boot &&
                              gate->state < membership::MemberState::kLeft;
    if (!same_process) {
      call.failure = UnknownAnswer(ErrorCode::kPermitHolderGone);
      return nullptr;
    }
    return gate;
  }
  if (!call.redirect.empty()) {
    const membership::Member* gate = context.members.Find(call.redirect);
    call.redirect.clear();
    if (gate != nullptr && gate->state == membership::MemberState::kReady) {
      return gate;
    }
  }
  std::vector<membership::NodeId> tried;
  for (const Attempt& attempt : call.attempts) {
    tried.push_back(attempt.gate);
  }
  const Timestamp limit = std::min({call.latency_deadline, call.deadline, this->AnswerLimit(call)});
  const Duration latency_budget = std::max(limit - context.now, kMinLatencyBudget);
  Balancer::Demand demand = DemandOf(call);
  demand.target_latency = call.match->route->target_latency;
  demand.budget = call.moving ? MoveBudget(call, latency_budget) : latency_budget;
  demand.request_bytes = call.request_bytes;
  demand.is_repeated = !tried.empty();
  demand.needs_free_slot = HasOpenAttempt(call);
  return this->balancer.Choose(context, *call.match->route, demand, tried, call.target);
}

Duration Entry::AttemptTimeout(const Context& context, const OpenCall& call) const {
  const auto attempts_made = static_cast<std::uint32_t>(call.attempts.size());
  const std::uint32_t left =
      call.max_attempts > attempts_made ? call.max_attempts - attempts_made : 0;
  const Duration share = (call.deadline - context.now) / (left + 1);
  return std::max(std::min(share, this->HedgeDelay(context, call)),
                  this->shared.options.entry.min_attempt_timeout);
}

Duration Entry::HedgeDelay(const Context& context, const OpenCall& call) const {
  if (!call.idempotent || !call.match || call.latency_deadline == Timestamp::max()) {
    return Duration::max();
  }
  const Duration mean = this->balancer.MeanServiceTime(TargetServiceOf(call), RouteKeyOf(call));
  const auto means = [mean](double count) {
    return Duration(static_cast<Duration::rep>(count * static_cast<double>(mean.count())));
  };
  const Duration delay = call.latency_deadline - context.now - means(kHedgeReserve);
  return mean.count() > 0 && delay >= means(kMinHedgeDelay) ? delay : Duration::max();
}

void Entry::SendAttempt(const Context& context, OpenCall& call) {
  call.retry_at.reset();
  const bool has_time = this->HasTimeForAttempt(context, call);
  const bool is_allowed =
      has_time && (call.attempts.empty() || this->AuthorizeAgain(context, call));
  const membership::Member* gate = is_allowed ? this->ChooseGate(context, call) : nullptr;
  if (gate != nullptr && this->WouldBeRefusedAgain(context, call)) {
    gate = nullptr;
  }
  if (gate != nullptr && NeedsPause(call, *gate)) {
    if (this->TryPause(context, call)) {
      return;
    }
    gate = nullptr;
  }
  call.moving = false;
  if (gate == nullptr) {
    this->RefundRetry(call);
    if (!has_time) {
      call.failure = NotRunAnswer(ErrorCode::kDraining);
    } else if (!call.permit && call.attempts.empty()) {
      call.failure = NotRunAnswer(this->balancer.WasOverloaded() ? ErrorCode::kQueueFull
                                                                 : ErrorCode::kNoBackendServer);
    }
    if (HasOpenAttempt(call)) {
      this->Schedule(call);
    } else {
      this->Fail(context, call);
    }
    return;
  }
  Attempt attempt;
  attempt.number = static_cast<std::uint32_t>(call.attempts.size()) + 1;
  attempt.gate = gate->id;
  attempt.gate_boot_id = gate->boot_id;
  attempt.sent = context.now;
  attempt.overdue_at = context.now + this->AttemptTimeout(context, call);
  if (this->OutlastsProcess(call)) {
    // The request itself does not tell the gate when this process ends.
    attempt.next_fence_at = context.now + this->shared.options.entry.fence_retry_interval;
  }
  ++this->shared.counters.attempts;
  this->shared.counters.retries += call.charge ? 1 : 0;
  call.charge.reset();
  this->balancer.OnSent(gate->id, PriorityOf(call), context.now);
  context.Send(gate->id, this->MakeRequest(context, call, attempt, *gate));
  call.attempts.push_back(std::move(attempt));
  this->Schedule(call);
}

CallRequest Entry::MakeRequest(const Context& context, const OpenCall& call, const Attempt& attempt,
                               const membership::Member& gate) const {
  const membership::Member& self = context.members.Self();
  CallRequest request;
  request.id = AttemptId{self.id, self.boot_id, call.call, attempt.number};
  request.gate_incarnation = gate.incarnation;
  request.gate_boot_id = gate.boot_id;
  request.service = gate.service;
  request.request = call.request;
  request.remaining = call.deadline - context.now;
  const Timestamp limit = std::min(call.latency_deadline, this->AnswerLimit(call));
  if (limit != Timestamp::max()) {
    // A call past its target latency may still use a free slot.
    request.latency_budget = std::max(limit - context.now, kMinLatencyBudget);
  }
  request.permit = call.permit_token;
  request.workspace = call.workspace;
  request.fingerprint = FingerprintOf(gate.service, call.request);
  if (call.match) {
    const document::Route& route = *call.match->route;
    request.route = QualifiedRoute(call.match->document->service, route.name);
    request.version = call.match->version;
    request.idempotent = route.idempotent;
    request.priority = PriorityOf(call);
    request.max_response_bytes = route.max_response_bytes;
  }
  return request;
}

void Entry::OnReply(const Context& context, const CallReply& reply) {
  OpenCall* call = this->IsOwnAttempt(context, reply.id) ? this->Find(reply.id.call) : nullptr;
  Attempt* attempt = call == nullptr ? nullptr : FindOpen(*call, reply.id.attempt);
  const Answer& answer = reply.answer;
  if (attempt == nullptr && answer.kind == ResultKind::kAnswered && call != nullptr &&
      IsGivenUp(*call, reply.id.attempt)) {
    // A late answer to an earlier attempt of an idempotent call is still valid.
    this->Finish(context, *call, answer);
    return;
  }
  if (attempt == nullptr) {
    ++this->shared.counters.ignored_replies;
    return;
  }
  this->balancer.OnLoadReport(attempt->gate, reply.load, context.now);
  this->balancer.OnWorkspaceLoad(attempt->gate, DemandOf(*call), reply.workspace_ahead,
                                 context.now);
  if (call->match) {
    this->balancer.OnRunTime(attempt->gate, TargetServiceOf(*call), RouteKeyOf(*call),
                             reply.run_time_us, context.now);
  }
  if (answer.code == ErrorCode::kGateUnreachable) {
    this->balancer.OnProcessReplaced(attempt->gate, attempt->gate_boot_id);
  }
  if (answer.kind == ResultKind::kAnswered) {
    this->balancer.OnEnded(attempt->gate, RouteKeyOf(*call), AttemptOutcome::kAnswered,
                           context.now - attempt->sent, context.now);
    if (call->match) {
      this->balancer.OnAnswer(attempt->gate, TargetServiceOf(*call), RouteKeyOf(*call),
                              BackendTimeOf(answer.response), answer.response.body.size());
      this->balancer.CountAnswer(context, attempt->gate, TargetServiceOf(*call),
                                 call->request_bytes + answer.response.body.size());
    }
    attempt->stage = AttemptStage::kUnknown;
    this->Finish(context, *call, answer);
    return;
  }
  if (call->permit && answer.kind == ResultKind::kNotRun) {
    // The gate has invalidated the permit, so no copy of the request has run or will run.
    this->balancer.OnEnded(attempt->gate, RouteKeyOf(*call), AttemptOutcome::kFailed, {},
                           context.now);
    attempt->stage = AttemptStage::kNotRun;
    this->Finish(context, *call, answer);
    return;
  }
  const bool redirected = answer.code == ErrorCode::kSuspectElsewhere && !reply.redirect.empty();
  if (redirected && call->redirects < this->shared.options.entry.max_redirects) {
    call->redirect = reply.redirect;
  }
  const AttemptStage stage =
      answer.kind == ResultKind::kNotRun ? AttemptStage::kNotRun : AttemptStage::kUnknown;
  this->EndAttempt(context, *call, *attempt, stage, answer);
}

void Entry::OnCancelReply(const Context& context, const CallCancelReply& reply) {
  OpenCall* call = this->IsOwnAttempt(context, reply.id) ? this->Find(reply.id.call) : nullptr;
  Attempt* attempt = call == nullptr ? nullptr : FindOpen(*call, reply.id.attempt);
  if (attempt == nullptr) {
    return;
  }
  if (!reply.ran) {
    ++this->shared.counters.fences_not_run;
    const ErrorCode code =
        call->closing_until ? ErrorCode::kDeadlineExceeded : ErrorCode::kGateUnreachable;
    this->EndAttempt(context, *call, *attempt, AttemptStage::kNotRun, NotRunAnswer(code));
    return;
  }
  attempt->next_fence_at.reset();
  if (reply.running) {
    attempt->give_up_at.reset();
  } else if (!attempt->give_up_at) {
    // The reply was sent before this message, so it is delayed or lost.
    attempt->give_up_at = context.now + this->shared.options.entry.reply_grace_period;
  }
  this->Schedule(*call);
}

void Entry::OnNotSent(const Context& context, const AttemptId& id) {
  OpenCall* call = this->IsOwnAttempt(context, id) ? this->Find(id.call) : nullptr;
  Attempt* attempt = call == nullptr ? nullptr : FindOpen(*call, id.attempt);
  if (attempt != nullptr) {
    this->EndAttempt(context, *call, *attempt, AttemptStage::kNotRun,
                     NotRunAnswer(ErrorCode::kGateUnreachable));
  }
}

void Entry::OnCallerGone(const Context& context, std::uint64_t number) {
  OpenCall* call = this->Find(number);
  if (call == nullptr) {
    return;
  }
  for (Attempt& attempt : call->attempts) {
    if (attempt.stage == AttemptStage::kOpen) {
      this->Fence(context, *call, attempt, true);
    }
  }
  call->failure = NotRunAnswer(ErrorCode::kCallerGone);
  this->Fail(context, *call);
}

void Entry::Fail(const Context& context, OpenCall& call) {
  Answer answer = call.failure;
  // Other entry nodes may have sent copies of a request with a permit.
  if (call.permit || MayHaveRun(call)) {
    answer.kind = ResultKind::kUnknown;
  }
  // Upstream nodes must not retry what this node has already retried.
  answer.no_retry = answer.no_retry || call.attempts.size() > 1;
  if (answer.kind == ResultKind::kNotRun) {
    answer.retry_after = this->AdviseRetry(context, call, answer.code);
  }
  this->Finish(context, call, std::move(answer));
}

void Entry::Finish(const Context& context, OpenCall& call, Answer answer) {
  for (Attempt& attempt : call.attempts) {
    if (attempt.stage != AttemptStage::kOpen) {
      continue;
    }
    this->balancer.OnEnded(attempt.gate, RouteKeyOf(call), AttemptOutcome::kAbandoned, {},
                           context.now);
    if (answer.kind == ResultKind::kAnswered && !call.permit) {
      this->Fence(context, call, attempt, true);
    }
  }
  if (answer.kind == ResultKind::kNotRun && !call.permit) {
    this->shared.Require(!MayHaveRun(call), "P5: \"not run\" for a call that may have run");
  }
  Counters& counters = this->shared.counters;
  ++(answer.kind == ResultKind::kAnswered ? counters.answered
     : answer.kind == ResultKind::kNotRun ? counters.not_run
                                          : counters.unknown);
  this->RefundRetry(call);
  const std::uint64_t number = call.call;
  context.effects.emplace_back(AnswerCaller{number, std::move(answer)});
  this->open_bytes -= call.request_bytes;
  this->timers.erase({call.wake, number});
  this->calls.erase(number);
}

bool Entry::IsOwnAttempt(const Context& context, const AttemptId& id) const {
  const membership::Member& self = context.members.Self();
  return id.entry == self.id && id.entry_boot_id == self.boot_id;
}

std::vector<std::uint64_t> Entry::OpenCallNumbers() const {
  std::vector<std::uint64_t> numbers;
  numbers.reserve(this->calls.size());
  for (const auto& [number, call] : this->calls) {
    numbers.push_back(number);
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

OpenCall* Entry::Find(std::uint64_t call) {
  const auto found = this->calls.find(call);
  return found == this->calls.end() ? nullptr : found->second.get();
}

Attempt* Entry::FindOpen(OpenCall& call, std::uint32_t number) {
  if (number == 0 || number > call.attempts.size()) {
    return nullptr;
  }
  Attempt& attempt = call.attempts[number - 1];
  return attempt.stage == AttemptStage::kOpen ? &attempt : nullptr;
}

bool Entry::IsGivenUp(const OpenCall& call, std::uint32_t number) {
  return number != 0 && number <= call.attempts.size() &&
         call.attempts[number - 1].stage == AttemptStage::kUnknown;
}

std::optional<Timestamp> Entry::NextWake() const {
  if (this->timers.empty()) {
    return std::nullopt;
  }
  return std::min(this->timers.begin()->first, this->answer_limit.value_or(Timestamp::max()));
}

}  // namespace amaranthlatch::calls::details
