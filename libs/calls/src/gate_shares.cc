// Shares of the workspaces in the queue of the gate.

#include <algorithm>
#include <limits>

#include "gate.h"

namespace amaranthlatch::calls::details {

namespace {

// Rounded up, so that 0 means no wait.
std::uint32_t ToMillisecondsUp(utils::Duration wait) {
  return static_cast<std::uint32_t>(
      utils::ToMilliseconds(wait + utils::Milliseconds(1) - utils::Duration(1)));
}

}  // namespace

Gate::Share Gate::ShareOf(const AdmittedCall& call) {
  return {call.request.priority, call.request.workspace, call.weight, call.route};
}

bool Gate::MakeRoom(const Context& context, const AdmittedCall& call, bool has_slot) {
  const auto document = context.routes.Find(this->service);
  const auto find_shortage = [&]() -> std::optional<QueueMeasure> {
    const std::uint64_t bytes =
        this->running_bytes + this->queue.BodyBytes() + call.request.request.body.size();
    if (bytes > this->shared.options.gate.max_admitted_bytes) {
      return QueueMeasure::kBodyBytes;
    }
    const bool is_full =
        !has_slot && document &&
        this->queue.Size(call.request.priority) >= document->protection.queue_length;
    return is_full ? std::optional(QueueMeasure::kCalls) : std::nullopt;
  };
  while (const std::optional<QueueMeasure> shortage = find_shortage()) {
    const AdmittedCall* const yielding = this->queue.FindYielding(call, *shortage);
    if (yielding == nullptr) {
      return false;
    }
    this->Drop(context, *this->queue.Remove(yielding->key), utils::ErrorCode::kQueueFull);
  }
  return true;
}

void Gate::DescribeLoad(CallReply& reply, const Share* share, utils::Timestamp now) const {
  reply.load.in_flight = static_cast<std::uint32_t>(this->runs.size());
  for (std::size_t i = 0; i < reply.load.queued.size(); ++i) {
    const auto priority = static_cast<document::Priority>(i);
    const FairQueue& queued = this->queue.ClassQueue(priority);
    reply.load.queued.at(i) = static_cast<std::uint32_t>(queued.Size());
    reply.load.ahead_of_new.at(i) = static_cast<std::uint32_t>(queued.CountAheadOfNew());
    if (this->runs.size() >= this->limit.Get() || this->KeepsLastSlot(priority, now)) {
      const utils::Duration work = this->WorkAhead(priority) + this->service_times.Mean();
      reply.load.wait_ms.at(i) = ToMillisecondsUp(this->WaitBehind(work, priority, now));
    }
    reply.load.link_wait_ms.at(i) = ToMillisecondsUp(this->link.BulkWait(priority, now));
  }
  if (share == nullptr) {
    return;
  }
  constexpr utils::Duration::rep kMaxReported = std::numeric_limits<std::uint32_t>::max();
  reply.run_time_us = static_cast<std::uint32_t>(
      std::min(this->speed.ExpectedTime(share->route).count(), kMaxReported));
  // Calls without a workspace are told apart only where workspaces have calls queued: otherwise the
  // length of the queue says the same.
  const FairQueue& queued = this->queue.ClassQueue(share->priority);
  if (!share->workspace.empty() || queued.HasWorkspaces()) {
    reply.workspace_ahead =
        static_cast<std::uint32_t>(queued.CountAhead(share->workspace, share->weight));
  }
}

}  // namespace amaranthlatch::calls::details
