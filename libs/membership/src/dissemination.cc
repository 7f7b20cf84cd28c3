// Push of new records.

#include "dissemination.h"

#include <algorithm>
#include <functional>

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::membership::details {

namespace {

constexpr std::size_t kMaxRecordsPerPush = 64;
// Hops beyond the depth of a complete tree of the fan-out, because random choices overlap.
constexpr std::uint32_t kSpareHops = 3;
constexpr std::size_t kMaxRepeats = 4096;
constexpr std::size_t kLeaders = 8;
// Changes that are offered to a peer with another digest.
constexpr std::size_t kRecentChanges = 32;
constexpr std::size_t kMaxRecent = 256;
constexpr utils::Duration kRecentAge = utils::Seconds(15);
}  // namespace

const std::vector<NodeId>& Gateways::Leaders(const Context& context, const std::string& zone) {
  Ranking& ranking = this->rankings[zone];
  const MemberList list = context.table.OfZone(zone);
  if (ranking.list == list) {
    return ranking.leaders;
  }
  ranking.list = list;
  std::vector<std::pair<std::uint64_t, const Member*>> weights;
  weights.reserve(list->size());
  for (const Member& member : *list) {
    if (member.state != MemberState::kDraining) {
      weights.emplace_back(utils::RendezvousWeight(zone, member.id), &member);
    }
  }
  const std::size_t count = std::min(kLeaders, weights.size());
  std::partial_sort(weights.begin(), weights.begin() + static_cast<std::ptrdiff_t>(count),
                    weights.end(), std::greater<>());
  ranking.leaders.clear();
  for (std::size_t i = 0; i < count; ++i) {
    ranking.leaders.push_back(weights[i].second->id);
  }
  return ranking.leaders;
}

const NodeId* Gateways::Find(const Context& context, const std::string& zone, std::size_t rank) {
  const std::vector<NodeId>& leaders = this->Leaders(context, zone);
  for (const NodeId& leader : leaders) {
    if (!context.IsReachable(leader)) {
      continue;
    }
    if (rank == 0) {
      return &leader;
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

std::uint32_t Dissemination::FullHops(const Context& context) {
  std::uint32_t hops = kSpareHops;
  const std::size_t size = context.table.ZoneSize(context.options.zone);
  const std::size_t fanout = std::max<std::size_t>(context.options.update_fanout, 2);
  for (std::size_t reach = 1; reach < size; reach *= fanout) {
    ++hops;
  }
  return hops;
}

void Dissemination::Enqueue(Context& context, const Member& member, std::uint32_t hops) {
  this->recent.emplace_back(context.now, member.id);
  while (this->recent.size() > kMaxRecent ||
         this->recent.front().first + kRecentAge < context.now) {
    this->recent.pop_front();
  }
  if (hops > 0) {
    this->PlanZonePush(context, member.id, hops);
    // Random choices miss one node in sixteen at a fan-out of 3. News of a member that goes away
    // must not wait for the next comparison of digests, so it is pushed once more.
    if (member.state >= MemberState::kDraining && this->repeats.size() < kMaxRepeats) {
      this->repeats.push_back({context.now + context.options.update_repeat, member.id, hops});
    }
  }
  if (member.zone == context.options.zone && this->gateways.OwnRank(context) == 0) {
    this->cross_queue.insert(member.id);
    if (!this->cross_due) {
      this->cross_due = context.now + context.options.zone_update_delay;
    }
  }
}

void Dissemination::PlanZonePush(Context& context, const NodeId& id, std::uint32_t hops) {
  std::uint32_t& planned = this->zone_queue[id];
  planned = std::max(planned, hops);
  if (!this->zone_due) {
    this->zone_due = context.now + context.options.update_delay;
  }
}

void Dissemination::Advance(Context& context) {
  while (!this->repeats.empty() && this->repeats.front().due <= context.now) {
    this->PlanZonePush(context, this->repeats.front().id, this->repeats.front().hops);
    this->repeats.pop_front();
  }
  if (this->zone_due && *this->zone_due <= context.now) {
    this->PushInZone(context);
  }
  if (this->cross_due && *this->cross_due <= context.now) {
    this->PushToZones(context);
  }
}

std::optional<utils::Timestamp> Dissemination::NextWake() const {
  std::optional<utils::Timestamp> wake = this->zone_due;
  if (this->cross_due) {
    KeepEarlier(wake, *this->cross_due);
  }
  if (!this->repeats.empty()) {
    KeepEarlier(wake, this->repeats.front().due);
  }
  return wake;
}

std::vector<Member> Dissemination::RecentChanges(const Context& context,
                                                 const std::string& zone) const {
  std::vector<Member> changes;
  std::set<NodeId> seen;
  for (auto entry = this->recent.rbegin();
       entry != this->recent.rend() && changes.size() < kRecentChanges; ++entry) {
    const Member* member = context.table.Find(entry->second);
    if (member != nullptr && member->zone == zone && seen.insert(member->id).second &&
        context.now - entry->first <= kRecentAge) {
      changes.push_back(*member);
    }
  }
  return changes;
}

std::vector<NodeId> Dissemination::PickZonePeers(Context& context, std::size_t count) {
  const MemberList list = context.table.OfZone(context.options.zone);
  std::vector<NodeId> peers;
  // More tries than peers, because a choice may fall on this node or a peer chosen before.
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
  bool own = false;
  while (!this->zone_queue.empty() && updates.members.size() < kMaxRecordsPerPush) {
    const auto entry = this->zone_queue.begin();
    const Member* member = context.table.Find(entry->first);
    if (member != nullptr) {
      own = own || context.IsSelf(member->id);
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
  // The gateway hears of the own record at once, so that it reaches other zones early.
  const NodeId* gateway = this->gateways.Find(context, context.options.zone, 0);
  if (own && gateway != nullptr && !context.IsSelf(*gateway) &&
      std::find(peers.begin(), peers.end(), *gateway) == peers.end()) {
    peers.push_back(*gateway);
  }
  for (const NodeId& peer : peers) {
    context.Send(peer, updates);
  }
}

void Dissemination::PushToZones(Context& context) {
  MemberUpdates updates;
  while (!this->cross_queue.empty() && updates.members.size() < kMaxRecordsPerPush) {
    const Member* member = context.table.Find(*this->cross_queue.begin());
    if (member != nullptr) {
      updates.members.push_back(*member);
    }
    this->cross_queue.erase(this->cross_queue.begin());
  }
  this->cross_due.reset();
  if (!this->cross_queue.empty()) {
    this->cross_due = context.now + context.options.zone_update_delay;
  }
  // The receiving gateway starts a new spread in its own zone.
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
