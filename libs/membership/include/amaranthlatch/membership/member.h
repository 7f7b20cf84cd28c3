// Member records: what every node says about itself.

#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace amaranthlatch::membership {

// "ip:port" of the node's peer address.
using NodeId = std::string;

// Later values win between records of one incarnation.
enum class MemberState : std::uint8_t {
  kJoining = 0,
  kReady = 1,
  kDraining = 2,
  kLeft = 3,
  kDead = 4,
};

struct Member {
  NodeId id;
  std::string region;
  std::string zone;
  // Empty until a backend server has announced itself to the node.
  std::string service;
  std::map<std::string, std::string> labels;
  // Where the node takes calls from callers.
  std::string data_address;
  // Rises at every restart and at every change of the record other than its state.
  std::uint64_t incarnation = 0;
  // Random number of the process: tells a restarted node from its predecessor.
  std::uint64_t boot_id = 0;
  MemberState state = MemberState::kJoining;
  // Concurrent requests of the backend server; 0 without one.
  std::uint32_t slots = 0;

  bool operator==(const Member&) const = default;
};

// Order between two records of one id: the higher replaces the lower.
inline std::strong_ordering ComparePrecedence(const Member& left, const Member& right) {
  return std::tie(left.incarnation, left.boot_id, left.state) <=>
         std::tie(right.incarnation, right.boot_id, right.state);
}

}  // namespace amaranthlatch::membership
