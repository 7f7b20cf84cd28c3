// Timers, fences and retries of open calls.

#include <algorithm>
#include <utility>

#include "entry.h"

namespace amaranthlatch::calls::details {

namespace {
using utils::Duration;
using utils::ErrorCode;
using utils::Timestamp;

constexpr std::uint32_t kMaxDoublings = 16;
// Moves of a call whose workspace has used its share of a queue. Further gates seldom have more
// room for it: with three moves, 80 workspaces at 1.2 times the capacity made 1.42 attempts a call
// in place of 1.24 and were refused after 26 ms in place of 3 ms, with as many answers.
constexpr std::uint32_t kMaxShareMoves = 1;

// Whether the attempt reached no backend server.
bool IsMove(const Attempt& attempt) {
  return attempt.stage == AttemptStage::kNotRun && !attempt.reached_backend;
}

std::uint32_t CountMoves(const OpenCall& call) {
  return static_cast<std::uint32_t>(
      std::count_if(call.attempts.begin(), call.attempts.end(), IsMove));
}

// A full queue may only be full for the workspace of the call.
bool IsShareUsed(const OpenCall& call, const Answer& failure) {
  return failure.code == ErrorCode::kQueueFull && !call.workspace.empty();
}

// Whether another attempt would fail in the same way.
bool IsFinal(ErrorCode code) {
  switch (code) {
    case ErrorCode::kPermitRequired:
    case ErrorCode::kPermitInvalid:
    case ErrorCode::kPermitExpired:
    case ErrorCode::kPermitHolderGone:
    case ErrorCode::kPermitRequestMismatch:
    case ErrorCode::kAnswerDropped:
    case ErrorCode::kAnswerTooLarge:
    case ErrorCode::kPoisoned:
      return true;
    default:
      return false;
  }
}
}  // namespace

void Entry::Fence(const Context& context, const OpenCall& call, Attempt& attempt, bool abort) {
  const membership::Member& self = context.members.Self();
  const AttemptId id{self.id, self.boot_id, call.call, attempt.number};
  ++this->shared.counters.fences;
  CallCancel cancel{id, attempt.gate_boot_id, abort};
  if (!abort && this->OutlastsProcess(call)) {
    cancel.answer_within = std::max(this->AnswerLimit(call) - context.now, Duration{});
  }
  context.Send(attempt.gate, std::move(cancel));
  attempt.next_fence_at = context.now + this->shared.options.entry.fence_retry_interval;
}

void Entry::OnPeerUnreachable(const Context& context, const membership::NodeId& id) {
  for (const std::uint64_t number : this->OpenCallNumbers()) {
    OpenCall& call = *this->calls.at(number);
    bool changed = false;
    for (Attempt& attempt : call.attempts) {
      if (attempt.stage == AttemptStage::kOpen && attempt.gate == id && !attempt.give_up_at) {
        attempt.give_up_at = context.now + this->shared.options.entry.fence_timeout;
        attempt.overdue_at = context.now;
        changed = true;
      }
    }
    if (changed) {
      this->Schedule(call);
    }
  }
}

void Entry::OnOverdue(const Context& context, OpenCall& call, Attempt& attempt) {
  attempt.overdue_at = Timestamp::max();
  if (call.permit) {
    // A second copy waits at the gate for the same answer or gets it again if the reply was lost.
    this->TryRetry(context, call);
    return;
  }
  if (call.idempotent && !this->TryRetry(context, call)) {
    // If no second attempt is possible, the first one keeps running.
    if (!attempt.give_up_at) {
      return;
    }
  }
  this->Fence(context, call, attempt, call.closing_until.has_value());
}

void Entry::BeginClosing(const Context& context, OpenCall& call) {
  call.retry_at.reset();
  call.failure = NotRunAnswer(ErrorCode::kDeadlineExceeded);
  call.closing_until = context.now + this->shared.options.entry.fence_timeout;
  bool has_open_attempt = false;
  for (Attempt& attempt : call.attempts) {
    if (attempt.stage == AttemptStage::kOpen) {
      this->Fence(context, call, attempt, true);
      attempt.overdue_at = Timestamp::max();
      has_open_attempt = true;
    }
  }
  if (has_open_attempt) {
    this->Schedule(call);
  } else {
    this->Fail(context, call);
  }
}

void Entry::AdvanceAttempts(const Context& context, OpenCall& call) {
  // Attempts appended by retries in this loop are not due yet.
  const std::size_t count = call.attempts.size();
  for (std::size_t i = 0; i < count; ++i) {
    Attempt& attempt = call.attempts[i];
    if (attempt.stage != AttemptStage::kOpen) {
      continue;
    }
    if (attempt.give_up_at && *attempt.give_up_at <= context.now) {
      ++this->shared.counters.fences_unanswered;
      this->EndAttempt(context, call, attempt, AttemptStage::kUnknown,
                       UnknownAnswer(ErrorCode::kGateUnreachable));
      return;
    }
    if (attempt.overdue_at <= context.now) {
      this->OnOverdue(context, call, call.attempts[i]);
    } else if (attempt.next_fence_at && *attempt.next_fence_at <= context.now) {
      this->Fence(context, call, attempt, call.closing_until.has_value());
    }
  }
  this->Schedule(call);
}

void Entry::AdvanceCall(const Context& context, OpenCall& call) {
  if (call.closing_until) {
    if (*call.closing_until <= context.now) {
      ++this->shared.counters.fences_unanswered;
      this->Fail(context, call);
    } else {
      this->AdvanceAttempts(context, call);
    }
    return;
  }
  if (call.deadline <= context.now) {
    this->BeginClosing(context, call);
    return;
  }
  if (call.retry_at && *call.retry_at <= context.now) {
    this->SendAttempt(context, call);
    return;
  }
  this->AdvanceAttempts(context, call);
}

void Entry::Advance(const Context& context) {
  if (this->answer_limit && *this->answer_limit <= context.now) {
    this->EndAllCalls(context);
    return;
  }
  while (!this->timers.empty() && this->timers.begin()->first <= context.now) {
    this->AdvanceCall(context, *this->calls.at(this->timers.begin()->second));
  }
}

void Entry::EndAttempt(const Context& context, OpenCall& call, Attempt& attempt, AttemptStage stage,
                       const Answer& failure) {
  attempt.stage = stage;
  attempt.reached_backend =
      stage == AttemptStage::kUnknown || failure.code == ErrorCode::kBackendShed;
  const AttemptOutcome outcome =
      this->balancer.OutcomeOf(attempt.gate, PriorityOf(call), failure.code);
  this->balancer.OnEnded(attempt.gate, RouteKeyOf(call), outcome, {}, context.now);
  if (call.match && outcome == AttemptOutcome::kBusy) {
    this->balancer.OnRefused(context, attempt.gate, TargetServiceOf(call), RouteKeyOf(call));
  }
  // Once the deadline has passed, the caller gets kDeadlineExceeded whatever an attempt returns.
  if (!call.closing_until) {
    call.failure = failure;
  }
  this->RetryOrFail(context, call);
}

void Entry::RetryOrFail(const Context& context, OpenCall& call) {
  bool any_open = false;
  bool any_unknown = false;
  for (const Attempt& attempt : call.attempts) {
    any_open = any_open || attempt.stage == AttemptStage::kOpen;
    any_unknown = any_unknown || attempt.stage == AttemptStage::kUnknown;
  }
  const bool repeatable = call.idempotent || call.permit.has_value() || !any_unknown;
  if (any_open || call.retry_at) {
    this->Schedule(call);
    return;
  }
  if (call.closing_until || !repeatable || !this->TryRetry(context, call)) {
    this->Fail(context, call);
  }
}

bool Entry::TryRetry(const Context& context, OpenCall& call) {
  if (call.retry_at) {
    return true;
  }
  if (call.closing_until) {
    return false;
  }
  const auto attempts_made = static_cast<std::uint32_t>(call.attempts.size());
  if (!call.redirect.empty()) {
    ++call.redirects;
    ++this->shared.counters.redirects;
    call.retry_at = context.now;
    this->Schedule(call);
    return true;
  }
  const EntryOptions& options = this->shared.options.entry;
  const std::uint32_t moves = options.max_uncounted_moves == 0 ? 0 : CountMoves(call);
  const std::uint32_t max_moves = IsShareUsed(call, call.failure)
                                      ? std::min(kMaxShareMoves, options.max_uncounted_moves)
                                      : options.max_uncounted_moves;
  if (call.failure.no_retry || IsFinal(call.failure.code) || moves > max_moves ||
      attempts_made >= call.max_attempts + call.redirects + moves) {
    return false;
  }
  // No backend server has received the last attempt, so the next one does not repeat any work: it
  // takes the place of an attempt that was free, or paid for.
  if (moves > 0 && IsMove(call.attempts.back()) && this->TryMove(context, call)) {
    return true;
  }
  if (moves > 0 && moves == attempts_made) {
    return false;
  }
  const std::uint32_t doublings =
      std::clamp<std::uint32_t>(attempts_made - call.redirects, 1, kMaxDoublings) - 1;
  const Duration max_delay =
      std::min(options.max_backoff, options.initial_backoff * (1U << doublings));
  // A refusal by one backend server says nothing about the others, so that they are asked at once.
  const bool is_shed = call.failure.code == ErrorCode::kBackendShed;
  const Duration delay =
      is_shed ? Duration{} : max_delay / 2 + this->shared.random.Jitter(max_delay / 2);
  if (context.now + delay >= call.deadline) {
    return false;
  }
  call.charge = this->budget.TrySpend(call.budget_service, PriorityOf(call), context.members.Size(),
                                      context.now, this->shared.random);
  if (!call.charge) {
    ++this->shared.counters.retries_over_budget;
    return false;
  }
  call.moving = is_shed;
  call.retry_at = context.now + delay;
  this->Schedule(call);
  return true;
}

bool Entry::AuthorizeAgain(const Context& context, OpenCall& call) {
  if (context.authorizer == nullptr) {
    return true;
  }
  const document::Route* const route = call.match ? call.match->route : nullptr;
  Authorization authorization = context.authorizer->Authorize(call.request, call.key, route);
  if (authorization.Code() != ErrorCode::kOk) {
    call.failure = NotRunAnswer(authorization.Code());
    return false;
  }
  ForwardCredentials(authorization.forward_credentials, call.request, call.credentials,
                     call.credentials_forwarded);
  call.workspace = std::move(authorization.workspace);
  call.priority = authorization.priority;
  return true;
}

Timestamp Entry::ComputeWake(const OpenCall& call) {
  Timestamp wake = call.closing_until ? *call.closing_until : call.deadline;
  if (call.retry_at) {
    wake = std::min(wake, *call.retry_at);
  }
  for (const Attempt& attempt : call.attempts) {
    if (attempt.stage != AttemptStage::kOpen) {
      continue;
    }
    wake = std::min(wake, attempt.overdue_at);
    if (attempt.next_fence_at) {
      wake = std::min(wake, *attempt.next_fence_at);
    }
    if (attempt.give_up_at) {
      wake = std::min(wake, *attempt.give_up_at);
    }
  }
  return wake;
}

void Entry::Schedule(OpenCall& call) {
  const Timestamp wake = ComputeWake(call);
  if (wake == call.wake) {
    return;
  }
  this->timers.erase({call.wake, call.call});
  call.wake = wake;
  this->timers.emplace(wake, call.call);
}

}  // namespace amaranthlatch::calls::details
