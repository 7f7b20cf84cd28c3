// Versions of backend servers in member records and status records.

#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/membership/member_view.h"
#include "amaranthlatch/rollout/order.h"

namespace amaranthlatch::rollout::details {

// Versions that a status record names at most; the oldest are left out.
inline constexpr std::size_t kMaxReplacedVersions = 32;

// Version of the backend server of a member; empty if unknown.
inline const std::string& VersionOf(const membership::Member& member) {
  static const std::string unknown;
  const auto found = member.labels.find("version");
  return found == member.labels.end() ? unknown : found->second;
}

// Whether the member has announced a backend server for its service and has not left.
inline bool IsServing(const membership::Member& member) {
  return member.state == membership::MemberState::kReady ||
         member.state == membership::MemberState::kDraining;
}

inline bool Contains(const std::vector<std::string>& versions, const std::string& version) {
  return std::find(versions.begin(), versions.end(), version) != versions.end();
}

inline void AddVersion(std::vector<std::string>& versions, const std::string& version) {
  if (Contains(versions, version)) {
    return;
  }
  versions.push_back(version);
  if (versions.size() > kMaxReplacedVersions) {
    versions.erase(versions.begin());
  }
}

// The versions that serve no longer when `order` follows a rollout to `previous_target`.
inline std::vector<std::string> ReplacedAfter(std::vector<std::string> replaced,
                                              const std::string& previous_target, bool completed,
                                              const Order& order) {
  if (!completed) {
    AddVersion(replaced, previous_target);
  }
  std::erase(replaced, order.target_version);
  return replaced;
}

}  // namespace amaranthlatch::rollout::details
