// Member records, which describe one node each and are normally written by that node.

#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace amaranthlatch::membership {

// Address of the node for peer messages, as "ip:port".
using NodeId = std::string;

// Label with the version of the software of the backend server.
inline constexpr const char* kVersionLabel = "version";

// Among records of one incarnation and process, the higher value takes precedence.
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
  // Empty until a backend server announces itself to the node.
  std::string service;
  std::map<std::string, std::string> labels;
  // Address at which the node accepts calls from callers.
  std::string data_address;
  // Increases at every restart and with every change to a field other than `state`.
  std::uint64_t incarnation = 0;
  // Random number that distinguishes the process from earlier processes of the same node.
  std::uint64_t boot_id = 0;
  MemberState state = MemberState::kJoining;
  // Number of concurrent requests that the backend server accepts; 0 without a backend server.
  std::uint32_t slots = 0;

  bool operator==(const Member&) const = default;
};

// Orders two records of the same id; the greater one replaces the other.
inline std::strong_ordering ComparePrecedence(const Member& left, const Member& right) {
  return std::tie(left.incarnation, left.boot_id, left.state) <=>
         std::tie(right.incarnation, right.boot_id, right.state);
}

}  // namespace amaranthlatch::membership
