// Admission at the gate: expected time of a new call, and the load that decides it elsewhere.

#include <algorithm>

#include "gate.h"

namespace amaranthlatch::calls::details {

namespace {
using utils::Duration;
using utils::ErrorCode;
using utils::Timestamp;
}  // namespace

ErrorCode Gate::CheckExpectedTime(const Context& context, const AdmittedCall& call,
                                  bool has_slot) const {
  const document::Priority priority = call.request.priority;
  if (!this->shared.options.gate.bound_queue_by_deadline) {
    return ErrorCode::kOk;
  }
  const Duration wait = has_slot ? Duration{} : this->ExpectedWait(call);
  const Duration run = wait + this->service_times.Mean(call.route);
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

Duration Gate::ExpectedWait(const AdmittedCall& call) const {
  // The work of the calls ahead, and of one that runs.
  auto work_us = static_cast<double>(this->service_times.Mean().count());
  this->queue.ForEachAhead(call, [this, &work_us](const AdmittedCall& ahead, double count) {
    work_us += count * static_cast<double>(this->service_times.Mean(ahead.route).count());
  });
  return utils::Duration(static_cast<utils::Duration::rep>(work_us)) /
         std::max<std::uint32_t>(1, this->limit.Get());
}

}  // namespace amaranthlatch::calls::details
