// An operator's order to move the traffic of a service to another version, as the register holds
// it.

#pragma once

#include <cstdint>
#include <string>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::directory {

struct RolloutOrder {
  std::string service;
  std::string target_version;
  // Time from the order to its deadline.
  utils::Duration duration{};
  // Position of its record in the configuration stream. The order of a service with the highest
  // position is the one in force.
  std::uint64_t position = 0;

  bool operator==(const RolloutOrder&) const = default;
};

}  // namespace amaranthlatch::directory
