// Orders of rollouts and the records of their status.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::rollout {

// Orders the traffic of a service to move to the backend servers of a version.
struct Order {
  std::string service;
  std::string target_version;
  utils::Duration duration{};
  // Of the orders for one service, that with the highest position is in force.
  std::uint64_t position = 0;
  bool operator==(const Order&) const = default;
};

enum class State : std::uint8_t { kRunning = 0, kComplete = 1, kRolledBack = 2 };

// Status of a rollout in the register. A record with kRunning is the claim of a coordinator.
struct StatusRecord {
  std::string service;
  std::string target_version;
  State state = State::kRunning;
  // Position of the order.
  std::uint64_t order = 0;
  // Versions that serve no longer: targets of earlier orders that were not completed, versions that
  // earlier rollouts replaced and, with kComplete, the versions that this rollout replaced.
  std::vector<std::string> replaced_versions;
  // Process that wrote the record.
  membership::NodeId coordinator;
  std::uint64_t coordinator_boot_id = 0;
  // Time of the rollout that had elapsed when the record was written.
  utils::Duration elapsed{};
  bool operator==(const StatusRecord&) const = default;
};

}  // namespace amaranthlatch::rollout
