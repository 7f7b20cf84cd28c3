// Groups of the members of each zone, and the rank of the members as holder of their group.
//
// All nodes that list the same members compute the same groups and ranks. Nodes that list different
// ones may delegate to different holders, which costs credit but never creates any.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "amaranthlatch/membership/member_view.h"
#include "amaranthlatch/quota/options.h"

namespace amaranthlatch::quota::details {

class ZoneGroups {
 public:
  explicit ZoneGroups(const Options& options) : options(options) {}

  // Whether the own group changed, and whether one of the others did.
  struct Changes {
    bool own = false;
    bool others = false;
  };
  Changes Update(const membership::MemberView& members);

  // Candidates of the own group, best first. With this node, unless its record is draining.
  const std::vector<membership::NodeId>& Own() const { return this->own; }
  // The best candidates of each other group.
  const std::vector<std::vector<membership::NodeId>>& Others() const { return this->others; }

 private:
  using Group = std::vector<membership::NodeId>;
  // The candidates of each group of one zone, in order of rank, at most `limit` of each.
  std::vector<Group> Rank(const std::string& zone, const std::vector<membership::Member>& members,
                          std::size_t limit) const;
  std::size_t CountGroups(std::size_t zone_size) const;
  std::size_t GroupOf(const membership::NodeId& id, std::size_t zone_size) const;

  struct Zone {
    // The list that `groups` was computed from.
    membership::MemberList members;
    std::vector<Group> groups;
  };

  const Options& options;
  std::uint64_t generation = 0;
  bool is_computed = false;
  std::map<std::string, Zone> zones;
  Group own;
  std::vector<Group> others;
};

}  // namespace amaranthlatch::quota::details
