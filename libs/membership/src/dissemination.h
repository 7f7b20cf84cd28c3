// Disseminates new member records by gossip within a zone and through gateways between zones.

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

// Ranks the members of each zone by rendezvous hashing. Rank 0 is the zone's gateway and rank 1 its
// standby.
class Gateways {
 public:
  // Returns the member with `rank` among the reachable candidates of `zone`, or null.
  const NodeId* Find(const Context& context, const std::string& zone, std::size_t rank);
  // Rank of this node in its own zone if it is the gateway or standby, otherwise empty.
  std::optional<std::size_t> OwnRank(const Context& context);

  static constexpr std::size_t kRanks = 2;

 private:
  // Highest-ranked members of a zone; more than `kRanks`, so that unreachable ones can be skipped.
  struct Ranking {
    MemberList list;
    std::vector<NodeId> candidates;
  };
  const std::vector<NodeId>& Candidates(const Context& context, const std::string& zone);

  std::map<std::string, Ranking> rankings;
};

class Dissemination {
 public:
  // Schedules the push of a stored record to zone peers for at most `hops` hops and, if this node
  // is the gateway of the record's zone, to other zones.
  void Enqueue(Context& context, const Member& member, std::uint32_t hops);

  // Sends the pushes that are due.
  void Advance(Context& context);
  std::optional<utils::Timestamp> NextWake() const;

  // Number of hops after which a push reaches every member of this node's zone.
  static std::uint32_t HopsToCoverZone(const Context& context);

  // Latest changed records of a zone, which a peer with a different digest most likely lacks.
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
