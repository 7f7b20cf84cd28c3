// Ordering of rollout orders by position.

#include "rollout_orders.h"

#include <algorithm>

namespace amaranthlatch::directory::details {

bool RolloutOrders::Apply(const RolloutOrder& order) {
  const auto [known, added] = this->orders.try_emplace(order.service, order);
  if (!added && order.position <= known->second.position) {
    return false;
  }
  known->second = order;
  this->end = std::max(this->end, order.position + 1);
  return true;
}

std::vector<RolloutOrder> RolloutOrders::Since(std::uint64_t position) const {
  std::vector<RolloutOrder> found;
  for (const auto& [service, order] : this->orders) {
    if (order.position >= position) {
      found.push_back(order);
    }
  }
  return found;
}

}  // namespace amaranthlatch::directory::details
