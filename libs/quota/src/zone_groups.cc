// Rendezvous hashing of the members of a zone.

#include "zone_groups.h"

#include <algorithm>
#include <utility>

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::quota::details {

namespace {

using membership::Member;
using membership::MemberState;
using membership::NodeId;

// Candidates of another zone; when none of them responds, those of lower rank are not tried.
constexpr std::size_t kMaxOtherCandidates = 8;

bool IsCandidate(const Member& member) {
  return member.state == MemberState::kJoining || member.state == MemberState::kReady;
}

}  // namespace

ZoneGroups::Changes ZoneGroups::Update(const membership::MemberView& members) {
  if (this->is_computed && members.Generation() == this->generation) {
    return {};
  }
  this->is_computed = true;
  this->generation = members.Generation();
  std::map<std::string, Zone> next;
  Group next_own;
  std::vector<Group> next_others;
  for (const std::string& name : members.Zones()) {
    const bool is_own = name == this->options.zone;
    Zone& zone = next[name];
    zone.members = members.ZoneMembers(name);
    const auto known = this->zones.find(name);
    if (known != this->zones.end() && known->second.members == zone.members) {
      zone = std::move(known->second);
    } else {
      zone.groups =
          this->Rank(name, *zone.members, is_own ? zone.members->size() : kMaxOtherCandidates);
    }
    const std::size_t own_group = this->GroupOf(this->options.id, zone.members->size());
    for (std::size_t i = 0; i < zone.groups.size(); ++i) {
      if (is_own && i == own_group) {
        next_own = zone.groups[i];
      } else if (!zone.groups[i].empty()) {
        next_others.push_back(zone.groups[i]);
      }
    }
  }
  this->zones = std::move(next);
  const Changes changes{next_own != this->own, next_others != this->others};
  this->own = std::move(next_own);
  this->others = std::move(next_others);
  return changes;
}

std::vector<ZoneGroups::Group> ZoneGroups::Rank(const std::string& zone,
                                                const std::vector<Member>& members,
                                                std::size_t limit) const {
  std::vector<std::vector<std::pair<std::uint64_t, NodeId>>> ranked(
      this->CountGroups(members.size()));
  for (const Member& member : members) {
    if (IsCandidate(member)) {
      ranked[this->GroupOf(member.id, members.size())].emplace_back(
          utils::RendezvousWeight(zone, member.id), member.id);
    }
  }
  std::vector<Group> groups(ranked.size());
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    std::sort(ranked[i].rbegin(), ranked[i].rend());
    for (std::size_t j = 0; j < std::min(ranked[i].size(), limit); ++j) {
      groups[i].push_back(std::move(ranked[i][j].second));
    }
  }
  return groups;
}

std::size_t ZoneGroups::CountGroups(std::size_t zone_size) const {
  return (zone_size + this->options.max_group_size - 1) / this->options.max_group_size;
}

std::size_t ZoneGroups::GroupOf(const NodeId& id, std::size_t zone_size) const {
  const std::size_t groups = this->CountGroups(zone_size);
  return groups <= 1 ? 0 : utils::Hash64(id) % groups;
}

}  // namespace amaranthlatch::quota::details
