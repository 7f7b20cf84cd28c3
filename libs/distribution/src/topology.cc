// Implementation of the rendezvous-hashed topology.

#include "topology.h"

#include <algorithm>
#include <set>
#include <utility>

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::distribution::details {

namespace {

constexpr std::size_t kRegionCandidates = 3;
constexpr std::size_t kZoneCandidates = 2;

NodeIds RendezvousOrder(const std::string& key, const membership::MemberList& list) {
  std::vector<std::pair<std::uint64_t, membership::NodeId>> weighted;
  weighted.reserve(list->size());
  for (const membership::Member& member : *list) {
    weighted.emplace_back(utils::RendezvousWeight(key, member.id), member.id);
  }
  std::sort(weighted.rbegin(), weighted.rend());
  NodeIds order;
  order.reserve(weighted.size());
  for (auto& [weight, id] : weighted) {
    order.push_back(std::move(id));
  }
  return order;
}

}  // namespace

void Topology::Refresh(const membership::MemberView& members) {
  this->members = &members;
  if (this->generation == members.Generation()) {
    return;
  }
  this->generation = members.Generation();
  this->self = members.Self().id;
  this->zone = members.Self().zone;
  this->region = members.Self().region;
  this->zone_orders.clear();
  this->zone_positions.clear();
  this->reader_candidates.clear();
  this->region_zone_names.reset();
  this->zone_peers.reset();
}

const NodeIds& Topology::ZoneOrder(const std::string& zone) {
  auto found = this->zone_orders.find(zone);
  if (found == this->zone_orders.end()) {
    found = this->zone_orders.emplace(zone, RendezvousOrder(zone, this->members->ZoneMembers(zone)))
                .first;
  }
  return found->second;
}

const NodeIds& Topology::ReaderCandidates(const std::string& region) {
  const auto found = this->reader_candidates.find(region);
  if (found != this->reader_candidates.end()) {
    return found->second;
  }
  const membership::MemberList list = this->members->RegionMembers(region);
  NodeIds result = RendezvousOrder(region, list);
  result.resize(std::min(result.size(), kRegionCandidates));
  std::set<std::string> region_zones;
  for (const membership::Member& member : *list) {
    region_zones.insert(member.zone);
  }
  for (const std::string& zone : region_zones) {
    const NodeIds& order = this->ZoneOrder(zone);
    for (std::size_t i = 0; i < std::min(order.size(), kZoneCandidates); ++i) {
      if (std::find(result.begin(), result.end(), order[i]) == result.end()) {
        result.push_back(order[i]);
      }
    }
  }
  return this->reader_candidates.emplace(region, std::move(result)).first->second;
}

std::optional<std::size_t> Topology::OwnReaderRank() {
  const NodeIds& order = this->ReaderCandidates(this->region);
  const auto found = std::find(order.begin(), order.end(), this->self);
  if (found == order.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - order.begin());
}

const std::vector<std::string>& Topology::ZonesOfRegion() {
  if (!this->region_zone_names) {
    std::set<std::string> names;
    const membership::MemberList list = this->members->RegionMembers(this->region);
    for (const membership::Member& member : *list) {
      names.insert(member.zone);
    }
    this->region_zone_names.emplace(names.begin(), names.end());
  }
  return *this->region_zone_names;
}

std::vector<std::string> Topology::Regions() const { return this->members->Regions(); }

const NodeIds& Topology::ZonePeers() {
  if (!this->zone_peers) {
    NodeIds others = this->ZoneOrder(this->zone);
    others.erase(std::remove(others.begin(), others.end(), this->self), others.end());
    this->zone_peers = std::move(others);
  }
  return *this->zone_peers;
}

std::optional<std::size_t> Topology::PositionInZone(const std::string& zone,
                                                    const membership::NodeId& node) {
  auto found = this->zone_positions.find(zone);
  if (found == this->zone_positions.end()) {
    std::map<membership::NodeId, std::size_t> positions;
    const NodeIds& order = this->ZoneOrder(zone);
    for (std::size_t i = 0; i < order.size(); ++i) {
      positions.emplace(order[i], i);
    }
    found = this->zone_positions.emplace(zone, std::move(positions)).first;
  }
  const auto position = found->second.find(node);
  return position == found->second.end() ? std::nullopt
                                         : std::optional<std::size_t>(position->second);
}

NodeIds Topology::Children(const std::string& zone, const membership::NodeId& node,
                           std::uint32_t fanout) {
  NodeIds children;
  const std::optional<std::size_t> position = this->PositionInZone(zone, node);
  if (!position) {
    return children;
  }
  const NodeIds& order = this->ZoneOrder(zone);
  const std::size_t first = *position * fanout + 1;
  for (std::size_t i = first; i < std::min(first + fanout, order.size()); ++i) {
    children.push_back(order[i]);
  }
  return children;
}

std::optional<membership::NodeId> Topology::Parent(std::uint32_t fanout) {
  const std::optional<std::size_t> position = this->PositionInZone(this->zone, this->self);
  if (!position || *position == 0) {
    return std::nullopt;
  }
  return this->ZoneOrder(this->zone)[(*position - 1) / fanout];
}

}  // namespace amaranthlatch::distribution::details
