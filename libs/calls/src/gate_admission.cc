// Admission at the gate: expected time of a new call, and the load that decides it elsewhere.

#include <algorithm>
#include <vector>

#include "gate.h"

namespace amaranthlatch::calls::details {

namespace {
using utils::Duration;
using utils::ErrorCode;
using utils::Timestamp;

// With an assumed run time of a quarter of the target, a gate without samples queues three calls
// for each slot. It queued any number, and the first second of a start answered most of them late.
constexpr std::int64_t kAssumedRunDivisor = 4;
// Longest assumed time of a call without a target latency, whose deadline may be far away.
constexpr Duration kMaxAssumedRunTime = utils::Milliseconds(100);
// A call is refused within 0.2 of its target latency, 0.05 of which are left for messages.
constexpr double kRefusableShare = 0.15;
// While calls of class internal come, one slot in eight is meant for them: their callers hold slots
// of their own. Gates with fewer slots have none to spare.
constexpr std::uint32_t kMinSlotsToReserve = 4;
constexpr std::uint32_t kSlotsPerReserved = 8;
constexpr Duration kReserveTime = utils::Seconds(2);
// Waits vary around the estimate, as more urgent calls come unevenly. Without this factor, a sixth
// of the calls admitted at twice the capacity were answered late, with it a hundredth.
constexpr double kWaitMargin = 1.5;
// A call is queued only if it would still be in time with a run twice as long as expected. With one
// run time, queues under overload grew until half of their calls were late.
constexpr std::int64_t kQueuedRunTimes = 2;
// Share of the turns for less urgent calls that a class may count on.
constexpr double kLeastShareOfTurns = 0.5;
// Longest burst whose queue may be as long as the target latency allows.
constexpr Duration kStandingTime = utils::Milliseconds(500);
// A call is not begun unless its entry node is expected to be there for a run this much longer than
// the mean: once begun, it can no longer be refused as not run.
constexpr double kCompletionMargin = 1.5;
// Queued calls are looked through at most this often.
constexpr Duration kReviewInterval = utils::Milliseconds(5);
}  // namespace

Duration AssumedRunTime(const CallRequest& request) {
  return request.latency_budget.count() > 0
             ? request.latency_budget / kAssumedRunDivisor
             : std::min(request.remaining / kAssumedRunDivisor, kMaxAssumedRunTime);
}

Timestamp RefusableUntil(const AdmittedCall& call, Timestamp now) {
  const auto given =
      static_cast<double>((std::min(call.deadline, call.latency_deadline) - now).count());
  return now + Duration(static_cast<Duration::rep>(given * kRefusableShare));
}

ErrorCode Gate::CheckExpectedTime(const Context& context, const AdmittedCall& call,
                                  bool has_slot) const {
  const document::Priority priority = call.request.priority;
  if (!this->shared.options.gate.bound_queue_by_deadline) {
    return ErrorCode::kOk;
  }
  const Duration wait = has_slot ? Duration{} : this->ExpectedWait(context, call);
  if (!has_slot && this->MeetsStandingQueue(call, wait, context.now)) {
    return ErrorCode::kQueueFull;
  }
  const Duration expected = this->ExpectedRunTime(call);
  const Duration run = wait + (has_slot ? expected : kQueuedRunTimes * expected);
  const Duration link_wait =
      call.uses_link ? this->link.Wait(call.route, priority, context.now) : Duration{};
  const Duration transfer =
      call.uses_link ? this->link.TransferTime(call.route, priority) : Duration{};
  const Timestamp limit = std::min(call.deadline, call.latency_deadline);
  if (context.now + std::max(run, link_wait) + transfer <= limit) {
    return ErrorCode::kOk;
  }
  if (link_wait > run) {
    return ErrorCode::kLinkBusy;
  }
  // A call that is late for another reason than a queue may use what is free: no other gate would
  // answer it earlier.
  return has_slot ? ErrorCode::kOk : ErrorCode::kQueueFull;
}

void Gate::NoteEmptyQueues(Timestamp now) {
  std::size_t queued = 0;
  for (std::size_t i = 0; i < this->empty_at.size(); ++i) {
    queued += this->queue.Size(static_cast<document::Priority>(i));
    this->empty_at.at(i) = queued == 0 ? now : this->empty_at.at(i);
  }
}

bool Gate::MeetsStandingQueue(const AdmittedCall& call, Duration wait, Timestamp now) const {
  const double share = this->shared.options.gate.standing_queue_share;
  const document::Priority priority = call.request.priority;
  const Timestamp empty_at = this->empty_at.at(static_cast<std::size_t>(priority));
  if (share == 0.0 || call.latency_deadline == Timestamp::max() ||
      now - empty_at <= kStandingTime) {
    return false;
  }
  const auto given = static_cast<double>((call.latency_deadline - now).count());
  // The next call for a free slot is always queued.
  const Duration least = this->WaitBehind(this->service_times.Mean(), priority, now);
  return wait > std::max(least, Duration(static_cast<Duration::rep>(given * share)));
}

Duration Gate::ExpectedRunTime(const AdmittedCall& call) const {
  return this->service_times.Find(call.route).value_or(call.assumed_run_time);
}

bool Gate::KeepsLastSlot(document::Priority priority, Timestamp now) const {
  const std::uint32_t slots = this->limit.Get();
  if (priority == document::Priority::kInternal || slots < kMinSlotsToReserve ||
      !this->internal_at || now - *this->internal_at > kReserveTime) {
    return false;
  }
  const std::uint32_t reserved = std::max<std::uint32_t>(1, slots / kSlotsPerReserved);
  return this->runs.size() + 1 >= slots &&
         this->slot_use.Running(document::Priority::kInternal) < reserved;
}

Duration Gate::WaitBehind(Duration work, document::Priority priority, Timestamp now) const {
  const std::uint32_t slots = std::max<std::uint32_t>(1, this->limit.Get());
  // More urgent calls that arrive meanwhile go first, except for every n-th free slot.
  const double share = 1.0 - this->slot_use.MoreUrgentShare(priority, slots, now);
  const double least = kLeastShareOfTurns / this->shared.options.gate.fairness_interval;
  return Duration(static_cast<Duration::rep>(kWaitMargin * static_cast<double>(work.count()) /
                                             (slots * std::max(share, least))));
}

Duration Gate::WorkAhead(document::Priority priority) const {
  Duration work{};
  this->queue.ForEachUpTo(
      priority, [this, &work](const AdmittedCall& ahead) { work += this->ExpectedRunTime(ahead); });
  return work;
}

Duration Gate::ExpectedWait(const Context& context, const AdmittedCall& call) const {
  const Duration mean = this->service_times.Mean();
  // The work of the calls ahead, and of one that runs.
  auto work_us = static_cast<double>((mean.count() > 0 ? mean : call.assumed_run_time).count());
  this->queue.ForEachAhead(call, [this, &work_us](const AdmittedCall& ahead, double count) {
    work_us += count * static_cast<double>(this->ExpectedRunTime(ahead).count());
  });
  return this->WaitBehind(Duration(static_cast<Duration::rep>(work_us)), call.request.priority,
                          context.now);
}

void Gate::LimitQueued(std::uint64_t key, Timestamp answer_by) {
  const AdmittedCall* const call = this->queue.Find(key);
  this->shared.Require(call != nullptr, "gate: a queued attempt is not in the queue");
  if (call != nullptr) {
    const auto run = static_cast<double>(this->ExpectedRunTime(*call).count()) * kCompletionMargin;
    this->queue.Limit(key, answer_by, answer_by - Duration(static_cast<Duration::rep>(run)));
    this->review_due = true;
  }
}

void Gate::RefuseLateCalls(const Context& context) {
  if (context.now < this->next_review) {
    return;
  }
  this->review_due = false;
  // Between workspaces the order of the queue changes with each call, so that what is late shows
  // only when a call expires.
  if (this->queue.Size() == 0 || !this->shared.options.gate.bound_queue_by_deadline ||
      this->queue.HasWorkspaces()) {
    return;
  }
  this->next_review = context.now + kReviewInterval;
  std::vector<std::uint64_t> late;
  Duration work = this->service_times.Mean();
  this->queue.ForEachUpTo(document::Priority::kBatch, [&](const AdmittedCall& call) {
    const Duration run = this->ExpectedRunTime(call);
    const Duration wait = this->WaitBehind(work, call.request.priority, context.now);
    const bool is_late =
        context.now + wait + run > std::min(call.deadline, call.latency_deadline) &&
        context.now <= call.refusable_until;
    // A call that may still be answered is worth more than an early refusal by a node that ends.
    const Duration likely_wait(
        static_cast<Duration::rep>(static_cast<double>(wait.count()) / kWaitMargin));
    if (is_late || context.now + likely_wait + run > call.answer_by) {
      late.push_back(call.key);
    } else {
      work += run;
    }
  });
  for (const std::uint64_t key : late) {
    this->Drop(context, *this->queue.Remove(key), ErrorCode::kQueueFull);
  }
}

}  // namespace amaranthlatch::calls::details
