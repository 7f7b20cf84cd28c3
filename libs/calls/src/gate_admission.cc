// Admission at the gate: queue capacity and expected wait of a new call.

#include <algorithm>

#include "gate.h"

namespace amaranthlatch::calls::details {

namespace {
using utils::ErrorCode;
}  // namespace

ErrorCode Gate::CheckQueueCapacity(const Context& context, const AdmittedCall& call) const {
  const auto document = context.routes.Find(this->service);
  const document::Priority priority = call.request.priority;
  if (document && this->queue.Size(priority) >= document->protection.queue_length) {
    return ErrorCode::kQueueFull;
  }
  if (!this->shared.options.gate.bound_queue_by_deadline) {
    return ErrorCode::kOk;
  }
  const utils::Duration expected = this->ExpectedWait(call) + this->service_times.Mean(call.route);
  return context.now + expected > std::min(call.deadline, call.latency_deadline)
             ? ErrorCode::kQueueFull
             : ErrorCode::kOk;
}

utils::Duration Gate::ExpectedWait(const AdmittedCall& call) const {
  // The work of the calls ahead, and of one that runs.
  utils::Duration work = this->service_times.Mean();
  this->queue.ForEachAhead(
      call.request.priority, call.latency_deadline,
      [this, &work](const AdmittedCall& ahead) { work += this->service_times.Mean(ahead.route); });
  return work / std::max<std::uint32_t>(1, this->limit.Get());
}

}  // namespace amaranthlatch::calls::details
