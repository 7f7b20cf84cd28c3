// Calls by number and by deadline.

#include "credit_waiters.h"

#include <algorithm>
#include <utility>

namespace amaranthlatch::node::details {

using utils::Timestamp;

void CreditWaiters::Add(Waiter waiter) {
  const std::uint64_t number = waiter.call.call;
  if (waiter.call.remaining) {
    this->deadlines.emplace(waiter.arrived + *waiter.call.remaining, number);
  }
  this->waiters.emplace(number, std::move(waiter));
}

std::optional<CreditWaiters::Waiter> CreditWaiters::Take(std::uint64_t call, Timestamp now) {
  auto found = this->waiters.extract(call);
  if (found.empty()) {
    return std::nullopt;
  }
  Waiter waiter = std::move(found.mapped());
  if (waiter.call.remaining) {
    this->deadlines.erase({waiter.arrived + *waiter.call.remaining, call});
    *waiter.call.remaining -= now - waiter.arrived;
  }
  return waiter;
}

std::optional<std::uint64_t> CreditWaiters::FindExpired(Timestamp now) const {
  if (this->deadlines.empty() || this->deadlines.begin()->first > now) {
    return std::nullopt;
  }
  return this->deadlines.begin()->second;
}

std::vector<std::uint64_t> CreditWaiters::Numbers() const {
  std::vector<std::uint64_t> numbers;
  numbers.reserve(this->waiters.size());
  for (const auto& [number, waiter] : this->waiters) {
    numbers.push_back(number);
  }
  // Effects must not depend on the iteration order of an unordered map.
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

std::optional<Timestamp> CreditWaiters::NextDeadline() const {
  return this->deadlines.empty() ? std::nullopt
                                 : std::optional<Timestamp>(this->deadlines.begin()->first);
}

}  // namespace amaranthlatch::node::details
