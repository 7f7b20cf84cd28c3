// Calls that may be open when the process ends: their gates are told by when the answer is needed,
// and drop them from their queues if it cannot be there in time. Calls that run are not cancelled.

#include <algorithm>

#include "entry.h"

namespace amaranthlatch::calls::details {

namespace {
using utils::Duration;
using utils::ErrorCode;
using utils::Timestamp;

// Part of the time left in which the reply of a gate arrives. A lost one can be asked for again.
constexpr Duration kReplyTime = utils::Milliseconds(150);
}  // namespace

void Entry::OnShutdownScheduled(const Context& context, Duration time_left) {
  if (this->answer_limit) {
    return;
  }
  this->answer_limit = context.now + time_left;
  for (const std::uint64_t number : this->OpenCallNumbers()) {
    OpenCall& call = *this->calls.at(number);
    if (!this->OutlastsProcess(call)) {
      continue;
    }
    for (Attempt& attempt : call.attempts) {
      if (attempt.stage == AttemptStage::kOpen) {
        this->Fence(context, call, attempt, false);
      }
    }
    this->Schedule(call);
  }
}

bool Entry::OutlastsProcess(const OpenCall& call) const {
  // The caller of a call with a permit gets its answer through another node.
  return this->answer_limit && !call.permit && !call.closing_until &&
         call.deadline + this->shared.options.entry.fence_timeout > *this->answer_limit;
}

Timestamp Entry::AnswerLimit(const OpenCall& call) const {
  return this->OutlastsProcess(call) ? *this->answer_limit - kReplyTime : Timestamp::max();
}

bool Entry::HasTimeForAttempt(const Context& context, const OpenCall& call) const {
  if (!call.match || !this->OutlastsProcess(call)) {
    return true;
  }
  const Duration run = this->balancer.MeanServiceTime(TargetServiceOf(call), RouteKeyOf(call));
  return context.now + run < this->AnswerLimit(call);
}

void Entry::EndAllCalls(const Context& context) {
  for (const std::uint64_t number : this->OpenCallNumbers()) {
    ++this->shared.counters.cut_by_shutdown;
    OpenCall& call = *this->calls.at(number);
    call.failure = NotRunAnswer(ErrorCode::kDraining);
    this->Fail(context, call);
  }
}

}  // namespace amaranthlatch::calls::details
