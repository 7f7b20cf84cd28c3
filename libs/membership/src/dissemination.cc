// Batches new records and pushes them to zone peers and other zones.

#include "dissemination.h"

#include <algorithm>
#include <functional>

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::membership::details {

namespace {

constexpr std::size_t kMaxRecordsPerPush = 64;
// Hops beyond the depth of a complete tree with the given fan-out, because random choices overlap.
constexpr std::uint32_t kExtraHops = 3;
constexpr std::size_t kMaxDelayedPushes = 4096;
constexpr std::size_t kMaxGatewayCandidates = 8;
// Recent changes sent to a peer whose digest differs.
constexpr std::size_t kMaxChangesPerReply = 32;
constexpr std::size_t kMaxRecentChanges = 256;
constexpr utils::Duration kRecentChangeAge = utils::Seconds(15);
}  // namespace

const std::vector<NodeId>& Gateways::Candidates(const Context& context, const std::string& zone) {
  Ranking& ranking = this->rankings[zone];
  const MemberList list = context.table.ZoneMembers(zone);
  if (ranking.list == list) {
    return ranking.candidates;
  }
  ranking.list = list;
  std::vector<std::pair<std::uint64_t, const Member*>> weights;
  weights.reserve(list->size());
  for (const Member& member : *list) {
    if (member.state != MemberState::kDraining) {
      weights.emplace_back(utils::RendezvousWeight(zone, member.id), &member);
    }
  }
  const std::size_t count = std::min(kMaxGatewayCandidates, weights.size());
  std::partial_sort(weights.begin(), weights.begin() + static_cast<std::ptrdiff_t>(count),
                    weights.end(), std::greater<>());
  ranking.candidates.clear();
  for (std::size_t i = 0; i < count; ++i) {
    ranking.candidates.push_back(weights[i].second->id);
  }
  return ranking.candidates;
}

const NodeId* Gateways::Find(const Context& context, const std::string& zone, std::size_t rank) {
  const std::vector<NodeId>& candidates = this->Candidates(context, zone);
  for (const NodeId& candidate : candidates) {
    if (!context.IsReachable(candidate)) {
      continue;
    }
    if (rank == 0) {
      return &candidate;
    }
    --rank;
  }
  return nullptr;
}

std::optional<std::size_t> Gateways::OwnRank(const Context& context) {
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    const NodeId* id = this->Find(context, context.options.zone, rank);
    if (id != nullptr && context.IsSelf(*id)) {
      return rank;
    }
  }
  return std::nullopt;
}

std::uint32_t Dissemination::HopsToCoverZone(const Context& context) {
  std::uint32_t hops = kExtraHops;
  const std::size_t size = context.table.ZoneSize(context.options.zone);
  const std::size_t fanout = std::max<std::size_t>(context.options.update_fanout, 2);
  for (std::size_t reach = 1; reach < size; reach *= fanout) {
    ++hops;
  }
  return hops;
}

void Dissemination::Enqueue(Context& context, const Member& member, std::uint32_t hops) {
  this->recent_changes.emplace_back(context.now, member.id);
  while (this->recent_changes.size() > kMaxRecentChanges ||
         this->recent_changes.front().first + kRecentChangeAge < context.now) {
    this->recent_changes.pop_front();
  }
  if (hops > 0) {
    this->ScheduleZonePush(context, member.id, hops);
    // At a fan-out of 3, random choices miss one node in sixteen. The record of a member that is
    // leaving must not wait for the next digest comparison, so it is pushed a second time.
    if (member.state >= MemberState::kDraining && this->delayed_pushes.size() < kMaxDelayedPushes) {
      this->delayed_pushes.push_back(
          {context.now + context.options.update_repeat_delay, member.id, hops});
    }
  }
  if (member.zone == context.options.zone && this->gateways.OwnRank(context) == 0) {
    this->cross_zone_queue.insert(member.id);
    if (!this->cross_zone_due) {
      this->cross_zone_due = context.now + context.options.cross_zone_update_delay;
    }
  }
}

void Dissemination::ScheduleZonePush(Context& context, const NodeId& id, std::uint32_t hops) {
  std::uint32_t& queued_hops = this->zone_queue[id];
  queued_hops = std::max(queued_hops, hops);
  if (!this->zone_due) {
    this->zone_due = context.now + context.options.update_delay;
  }
}

void Dissemination::Advance(Context& context) {
  while (!this->delayed_pushes.empty() && this->delayed_pushes.front().due <= context.now) {
    this->ScheduleZonePush(context, this->delayed_pushes.front().id,
                           this->delayed_pushes.front().hops);
    this->delayed_pushes.pop_front();
  }
  if (this->zone_due && *this->zone_due <= context.now) {
    this->PushInZone(context);
  }
  if (this->cross_zone_due && *this->cross_zone_due <= context.now) {
    this->PushToOtherZones(context);
  }
}

std::optional<utils::Timestamp> Dissemination::NextWake() const {
  std::optional<utils::Timestamp> wake = this->zone_due;
  if (this->cross_zone_due) {
    UpdateEarliest(wake, *this->cross_zone_due);
  }
  if (!this->delayed_pushes.empty()) {
    UpdateEarliest(wake, this->delayed_pushes.front().due);
  }
  return wake;
}

std::vector<Member> Dissemination::RecentChanges(const Context& context,
                                                 const std::string& zone) const {
  std::vector<Member> changes;
  std::set<NodeId> seen;
  for (auto entry = this->recent_changes.rbegin();
       entry != this->recent_changes.rend() && changes.size() < kMaxChangesPerReply; ++entry) {
    const Member* member = context.table.Find(entry->second);
    if (member != nullptr && member->zone == zone && seen.insert(member->id).second &&
        context.now - entry->first <= kRecentChangeAge) {
      changes.push_back(*member);
    }
  }
  return changes;
}

std::vector<NodeId> Dissemination::PickZonePeers(Context& context, std::size_t count) {
  const MemberList list = context.table.ZoneMembers(context.options.zone);
  std::vector<NodeId> peers;
  // More attempts than peers, because a random choice may be this node, an unreachable one or a
  // peer chosen before.
  for (std::size_t i = 0; i < 4 * count && peers.size() < count && list->size() > 1; ++i) {
    const NodeId& id = (*list)[context.random.Uniform(list->size())].id;
    if (!context.IsSelf(id) && context.IsReachable(id) &&
        std::find(peers.begin(), peers.end(), id) == peers.end()) {
      peers.push_back(id);
    }
  }
  return peers;
}

void Dissemination::PushInZone(Context& context) {
  MemberUpdates updates;
  bool includes_own_record = false;
  while (!this->zone_queue.empty() && updates.members.size() < kMaxRecordsPerPush) {
    const auto entry = this->zone_queue.begin();
    const Member* member = context.table.Find(entry->first);
    if (member != nullptr) {
      includes_own_record = includes_own_record || context.IsSelf(member->id);
      updates.members.push_back(*member);
      updates.hops_left = std::max(updates.hops_left, entry->second - 1);
    }
    this->zone_queue.erase(entry);
  }
  this->zone_due.reset();
  if (!this->zone_queue.empty()) {
    this->zone_due = context.now + context.options.update_delay;
  }
  if (updates.members.empty()) {
    return;
  }
  std::vector<NodeId> peers = this->PickZonePeers(context, context.options.update_fanout);
  // Push this node's own record directly to the gateway, so that it reaches other zones early.
  const NodeId* gateway = this->gateways.Find(context, context.options.zone, 0);
  if (includes_own_record && gateway != nullptr && !context.IsSelf(*gateway) &&
      std::find(peers.begin(), peers.end(), *gateway) == peers.end()) {
    peers.push_back(*gateway);
  }
  for (const NodeId& peer : peers) {
    context.Send(peer, updates);
  }
}

void Dissemination::PushToOtherZones(Context& context) {
  MemberUpdates updates;
  while (!this->cross_zone_queue.empty() && updates.members.size() < kMaxRecordsPerPush) {
    const Member* member = context.table.Find(*this->cross_zone_queue.begin());
    if (member != nullptr) {
      updates.members.push_back(*member);
    }
    this->cross_zone_queue.erase(this->cross_zone_queue.begin());
  }
  this->cross_zone_due.reset();
  if (!this->cross_zone_queue.empty()) {
    this->cross_zone_due = context.now + context.options.cross_zone_update_delay;
  }
  // The receiving gateway starts a new dissemination in its own zone.
  updates.hops_left = 1;
  for (const auto& [zone, digest] : context.table.Digests()) {
    const NodeId* gateway =
        zone == context.options.zone ? nullptr : this->gateways.Find(context, zone, 0);
    if (gateway != nullptr && !updates.members.empty()) {
      context.Send(*gateway, updates);
    }
  }
}

}  // namespace amaranthlatch::membership::details
