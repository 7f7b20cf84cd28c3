// Strict priority order, with a guaranteed share of dequeues for lower classes.

#include "priority_queue.h"

namespace amaranthlatch::calls::details {

void PriorityQueue::Push(AdmittedCall call) {
  const auto priority = static_cast<std::size_t>(call.request.priority);
  const Order order{call.latency_deadline, ++this->arrivals};
  this->positions[call.key] = Position{priority, order};
  this->expiries.emplace(call.expiry, call.key);
  this->body_bytes += call.request.request.body.size();
  this->classes[priority].emplace(order, std::move(call));
}

AdmittedCall PriorityQueue::RemoveAt(std::size_t priority, Order order) {
  auto node = this->classes[priority].extract(order);
  AdmittedCall call = std::move(node.mapped());
  this->positions.erase(call.key);
  this->body_bytes -= call.request.request.body.size();
  this->expiries.erase({call.expiry, call.key});
  return call;
}

std::size_t PriorityQueue::SelectClass() {
  std::size_t first = 0;
  while (this->classes[first].empty()) {
    ++first;
  }
  std::size_t selected = first;
  if (++this->pops >= this->interval) {
    this->pops = 0;
    for (std::size_t i = first + 1; i < this->classes.size(); ++i) {
      const bool has_call = !this->classes[i].empty();
      if (has_call && (selected == first || this->classes[i].begin()->first.arrival <
                                                this->classes[selected].begin()->first.arrival)) {
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
  const std::size_t priority = this->SelectClass();
  return this->RemoveAt(priority, this->classes[priority].begin()->first);
}

std::optional<AdmittedCall> PriorityQueue::Remove(std::uint64_t key) {
  const auto found = this->positions.find(key);
  if (found == this->positions.end()) {
    return std::nullopt;
  }
  const Position position = found->second;
  return this->RemoveAt(position.priority, position.order);
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
  return this->classes[static_cast<std::size_t>(priority)].size();
}

}  // namespace amaranthlatch::calls::details
