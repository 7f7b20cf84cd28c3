// Strict priority order, with a guaranteed share of dequeues for lower classes.

#include "priority_queue.h"

#include <limits>

namespace amaranthlatch::calls::details {

void PriorityQueue::Push(AdmittedCall call) {
  const auto priority = static_cast<std::size_t>(call.request.priority);
  const QueueOrder order{call.latency_deadline, ++this->arrivals};
  this->positions[call.key] = Position{priority, call.request.workspace, order};
  this->expiries.emplace(call.expiry, call.key);
  this->body_bytes += call.request.request.body.size();
  this->classes.at(priority).Push(order, std::move(call));
}

void PriorityQueue::Forget(const AdmittedCall& call) {
  this->positions.erase(call.key);
  this->body_bytes -= call.request.request.body.size();
  this->expiries.erase({call.expiry, call.key});
}

std::size_t PriorityQueue::SelectClass() {
  std::size_t first = 0;
  while (this->classes.at(first).Size() == 0) {
    ++first;
  }
  std::size_t selected = first;
  if (++this->pops >= this->interval) {
    this->pops = 0;
    std::uint64_t oldest = std::numeric_limits<std::uint64_t>::max();
    for (std::size_t i = first + 1; i < this->classes.size(); ++i) {
      const FairQueue& queue = this->classes.at(i);
      if (queue.Size() > 0 && queue.NextArrival() < oldest) {
        oldest = queue.NextArrival();
        selected = i;
      }
    }
  }
  return selected;
}

std::optional<AdmittedCall> PriorityQueue::Pop() {
  if (this->positions.empty()) {
    return std::nullopt;
  }
  AdmittedCall call = this->classes.at(this->SelectClass()).Pop();
  this->Forget(call);
  return call;
}

std::optional<AdmittedCall> PriorityQueue::Remove(std::uint64_t key) {
  const auto found = this->positions.find(key);
  if (found == this->positions.end()) {
    return std::nullopt;
  }
  const Position& position = found->second;
  AdmittedCall call =
      this->classes.at(position.priority).Remove(position.workspace, position.order);
  this->Forget(call);
  return call;
}

const AdmittedCall* PriorityQueue::Find(std::uint64_t key) {
  const auto found = this->positions.find(key);
  return found == this->positions.end() ? nullptr : &this->At(found->second);
}

void PriorityQueue::Limit(std::uint64_t key, utils::Timestamp answer_by, utils::Timestamp expiry) {
  AdmittedCall& call = this->At(this->positions.at(key));
  call.answer_by = std::min(call.answer_by, answer_by);
  if (expiry < call.expiry) {
    this->expiries.erase({call.expiry, key});
    call.expiry = expiry;
    this->expiries.emplace(expiry, key);
  }
}

std::optional<AdmittedCall> PriorityQueue::PopExpired(utils::Timestamp now) {
  if (this->expiries.empty() || this->expiries.begin()->first > now) {
    return std::nullopt;
  }
  return this->Remove(this->expiries.begin()->second);
}

std::optional<utils::Timestamp> PriorityQueue::NextExpiry() const {
  if (this->expiries.empty()) {
    return std::nullopt;
  }
  return this->expiries.begin()->first;
}

std::size_t PriorityQueue::Size(document::Priority priority) const {
  return this->ClassQueue(priority).Size();
}

const AdmittedCall* PriorityQueue::FindYielding(const AdmittedCall& call,
                                                QueueMeasure measure) const {
  const auto own = static_cast<std::size_t>(call.request.priority);
  const std::size_t lowest = measure == QueueMeasure::kBodyBytes ? this->classes.size() - 1 : own;
  for (std::size_t i = lowest;; --i) {
    const AdmittedCall* const yielding = this->classes.at(i).FindYielding(call, measure);
    if (yielding != nullptr || i == own) {
      return yielding;
    }
  }
}

}  // namespace amaranthlatch::calls::details
