// Pushes new records through the zone and between zones.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "context.h"

namespace amaranthlatch::membership::details {

// Orders the members of each zone by rendezvous; the first is its gateway, the second stands by.
class Gateways {
 public:
  // The member of `rank` in `zone`, or null. Members that do not answer are passed over.
  const NodeId* Find(const Context& context, const std::string& zone, std::size_t rank);
  // Rank of this node in its own zone, if it is the gateway or its stand-by.
  std::optional<std::size_t> OwnRank(const Context& context);

  static constexpr std::size_t kRanks = 2;

 private:
  // The leading members of a zone; more than the ranks, so that some can be passed over.
  struct Ranking {
    MemberList list;
    std::vector<NodeId> candidates;
  };
  const std::vector<NodeId>& Candidates(const Context& context, const std::string& zone);

  std::map<std::string, Ranking> rankings;
};

class Dissemination {
 public:
  // Plans the push of a stored record to zone peers, `hops` times further at most, and, at the
  // gateway of the record's zone, to other zones.
  void Enqueue(Context& context, const Member& member, std::uint32_t hops);

  // Pushes what is due. `suspect` tells members that are passed over.
  void Advance(Context& context);
  std::optional<utils::Timestamp> NextWake() const;

  // Hops that reach every member of a zone of this node's size.
  static std::uint32_t HopsToCoverZone(const Context& context);

  // The latest changes in a zone: what a peer with another digest most probably lacks.
  std::vector<Member> RecentChanges(const Context& context, const std::string& zone) const;

  Gateways& GetGateways() { return this->gateways; }

 private:
  struct DelayedPush {
    utils::Timestamp due{};
    NodeId id;
    std::uint32_t hops = 0;
  };

  void ScheduleZonePush(Context& context, const NodeId& id, std::uint32_t hops);
  void PushInZone(Context& context);
  void PushToOtherZones(Context& context);
  std::vector<NodeId> PickZonePeers(Context& context, std::size_t count);

  Gateways gateways;
  std::map<NodeId, std::uint32_t> zone_queue;
  std::set<NodeId> cross_zone_queue;
  std::optional<utils::Timestamp> zone_due;
  std::optional<utils::Timestamp> cross_zone_due;
  std::deque<DelayedPush> delayed_pushes;
  std::deque<std::pair<utils::Timestamp, NodeId>> recent_changes;
};

}  // namespace amaranthlatch::membership::details
