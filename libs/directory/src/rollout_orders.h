// The rollout orders in force, at most one for each service.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "amaranthlatch/directory/rollout_order.h"

namespace amaranthlatch::directory::details {

class RolloutOrders {
 public:
  // Returns whether the order came into force: an order at a lower position never replaces one.
  bool Apply(const RolloutOrder& order);

  // One more than the highest position of all orders; 0 without any.
  std::uint64_t End() const { return this->end; }
  // The orders in force at or above this position, by service.
  std::vector<RolloutOrder> Since(std::uint64_t position) const;

 private:
  std::map<std::string, RolloutOrder> orders;
  std::uint64_t end = 0;
};

}  // namespace amaranthlatch::directory::details
