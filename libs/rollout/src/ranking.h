// Order in which the participants of a rollout are asked to coordinate it.

#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "amaranthlatch/membership/member_view.h"
#include "amaranthlatch/rollout/order.h"
#include "amaranthlatch/utils/hash.h"
#include "versions.h"

namespace amaranthlatch::rollout::details {

inline std::uint64_t RankWeight(const Order& order, const membership::NodeId& id) {
  return utils::RendezvousWeight(order.service + "/" + std::to_string(order.position), id);
}

// The ready and draining members of the service, best first.
inline std::vector<membership::NodeId> RankedCandidates(const Order& order,
                                                        const membership::MemberView& members) {
  std::vector<std::pair<std::uint64_t, membership::NodeId>> ranked;
  for (const membership::Member& member : *members.ServiceMembers(order.service)) {
    if (IsServing(member)) {
      ranked.emplace_back(RankWeight(order, member.id), member.id);
    }
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<membership::NodeId> ids;
  ids.reserve(ranked.size());
  for (auto& [weight, id] : ranked) {
    ids.push_back(std::move(id));
  }
  return ids;
}

}  // namespace amaranthlatch::rollout::details
