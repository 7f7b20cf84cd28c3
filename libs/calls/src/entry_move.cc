// Moves of refused calls to other gates, and advice to callers whose calls are refused.

#include <algorithm>

#include "entry.h"

namespace amaranthlatch::calls::details {

namespace {
using utils::Duration;
using utils::ErrorCode;
using utils::Timestamp;

// A refusal is worth most if the caller can still try elsewhere within the target latency. Refusals
// of overloaded services came 600 to 1,300 ms after the call, after moves with pauses between them.
constexpr std::int64_t kMoveTimeDivisor = 5;
// The gate that was expected to answer first has refused the call, so that another one must be well
// within its time: under overload, gates whose waits are about as long as the calls have time took
// two more messages for each refused call.
constexpr double kMoveBudgetShare = 0.6;
// Nor may its queue be about as long as the one that refused the call. Without this, three moves a
// call were made at 1.3 times the capacity, nearly all of them refused.
constexpr double kMoveWaitShare = 0.5;
// Shorter waits than this part of the target latency vary too much to be compared.
constexpr std::int64_t kLongWaitDivisor = 5;
constexpr std::uint32_t kMaxDoublings = 8;
// Bounds of the advice before its jitter, which doubles it at most: callers that were refused at
// about the same time must not come back at about the same time.
constexpr Duration kMinAdvice = utils::Milliseconds(50);
constexpr Duration kMaxAdvice = utils::Seconds(1);
// A refusal by the backend server says nothing about a queue. With a twentieth of the target
// latency, doubled at most by its jitter, a caller can come back twice and still has most of its
// time. A fixed 200 ms left a third of the calls with a target of 500 ms late.
constexpr std::int64_t kShedAdviceDivisor = 20;
constexpr Duration kMinShedAdvice = utils::Milliseconds(5);

bool IsLoad(ErrorCode code) {
  return code == ErrorCode::kQueueFull || code == ErrorCode::kLinkBusy;
}

Duration GivenTime(const document::Route& route) {
  return route.target_latency.count() > 0 ? route.target_latency : route.deadline;
}
}  // namespace

Timestamp MoveDeadlineOf(const OpenCall& call, Timestamp now) {
  return now + (std::min(call.latency_deadline, call.deadline) - now) / kMoveTimeDivisor;
}

Duration MoveBudget(const OpenCall& call, Duration budget) {
  return IsLoad(call.failure.code) ? Duration(static_cast<Duration::rep>(
                                         static_cast<double>(budget.count()) * kMoveBudgetShare))
                                   : budget;
}

bool Entry::TryMove(const Context& context, OpenCall& call) {
  // A gate that cannot be reached shows only after its timeout; the call may still be answered.
  if (call.failure.code != ErrorCode::kGateUnreachable && context.now > call.move_deadline) {
    return false;
  }
  ++this->shared.counters.moves;
  call.moving = true;
  call.retry_at = context.now;
  this->Schedule(call);
  return true;
}

void Entry::RefundRetry(OpenCall& call) {
  if (call.charge) {
    this->budget.Refund(call.budget_service, *call.charge);
    call.charge.reset();
  }
}

bool Entry::WouldBeRefusedAgain(const Context& context, const OpenCall& call) {
  // A queue may be full for one workspace only.
  if (!call.moving || !call.match || !call.workspace.empty() ||
      call.failure.code != ErrorCode::kQueueFull) {
    return false;
  }
  const Duration expected = this->balancer.LastExpectedWait();
  const Duration refused =
      this->balancer.ExpectedWait(context, call.attempts.back().gate, *call.match->route);
  return refused > call.match->route->target_latency / kLongWaitDivisor &&
         static_cast<double>(expected.count()) >
             kMoveWaitShare * static_cast<double>(refused.count());
}

bool Entry::NeedsPause(const OpenCall& call, const membership::Member& gate) {
  return call.moving &&
         std::any_of(call.attempts.begin(), call.attempts.end(),
                     [&gate](const Attempt& attempt) { return attempt.gate == gate.id; });
}

bool Entry::TryPause(const Context& context, OpenCall& call) {
  const EntryOptions& options = this->shared.options.entry;
  const auto doublings =
      std::min(static_cast<std::uint32_t>(call.attempts.size()), kMaxDoublings) - 1;
  const Duration longest =
      std::min(options.max_backoff, options.initial_backoff * (1U << doublings));
  const Timestamp at = context.now + longest / 2 + this->shared.random.Jitter(longest / 2);
  // A retry is paid for and may still be answered in time.
  const bool was_refused = call.failure.code != ErrorCode::kGateUnreachable && !call.charge;
  if (at >= call.deadline || (was_refused && at > call.move_deadline)) {
    return false;
  }
  call.moving = false;
  call.retry_at = at;
  this->Schedule(call);
  return true;
}

std::optional<Duration> Entry::AdviseRetry(const Context& context, const OpenCall& call,
                                           ErrorCode code) {
  const bool is_shed = code == ErrorCode::kBackendShed;
  if (!call.match || (!is_shed && !IsLoad(code))) {
    return std::nullopt;
  }
  // Without an attempt no server had room for the call in time. Otherwise the last one asked was
  // the best, and its refusal told its load.
  const Duration wait =
      call.attempts.empty()
          ? this->balancer.LastExpectedWait()
          : this->balancer.ExpectedWait(context, call.attempts.back().gate, *call.match->route);
  const Duration least = is_shed ? std::clamp(GivenTime(*call.match->route) / kShedAdviceDivisor,
                                              kMinShedAdvice, kMinAdvice)
                                 : kMinAdvice;
  const Duration advice = std::clamp(wait, least, kMaxAdvice);
  return advice + this->shared.random.Jitter(advice);
}

}  // namespace amaranthlatch::calls::details
