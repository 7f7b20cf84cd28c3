// Orders of the members by rendezvous hash: readers of a region, the tree of a zone.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "amaranthlatch/membership/member_view.h"

namespace amaranthlatch::distribution::details {

using NodeIds = std::vector<membership::NodeId>;

// Caches the orders until the members change.
class Topology {
 public:
  // Must be called before the others at the start of every event.
  void Refresh(const membership::MemberView& members);

  const membership::NodeId& Self() const { return this->self; }
  const std::string& Zone() const { return this->zone; }
  const std::string& Region() const { return this->region; }

  // Members of a zone in rendezvous order; the first is the root of its tree.
  const NodeIds& ZoneOrder(const std::string& zone);

  // Nodes that may follow the log for a region, in the order of takeover: the first three of the
  // region, then the first two of each zone, so that a zone cut off from the others has one too.
  const NodeIds& ReaderCandidates(const std::string& region);

  // Position of this node among the candidates of its region.
  std::optional<std::size_t> OwnReaderRank();

  // Zones of this node's region, and all regions.
  const std::vector<std::string>& ZonesOfRegion();
  std::vector<std::string> Regions() const;

  // Other members of the own zone.
  const NodeIds& ZonePeers();

  // Children of `node` in the tree of its zone.
  NodeIds Children(const std::string& zone, const membership::NodeId& node, std::uint32_t fanout);
  std::optional<membership::NodeId> Parent(std::uint32_t fanout);

 private:
  std::optional<std::size_t> PositionInZone(const std::string& zone,
                                            const membership::NodeId& node);

  const membership::MemberView* members = nullptr;
  std::optional<std::uint64_t> generation;
  membership::NodeId self;
  std::string zone;
  std::string region;
  std::map<std::string, NodeIds> zone_orders;
  // Positions within zone_orders.
  std::map<std::string, std::map<membership::NodeId, std::size_t>> zone_positions;
  std::map<std::string, NodeIds> reader_candidates;
  std::optional<std::vector<std::string>> region_zone_names;
  std::optional<NodeIds> zone_peers;
};

}  // namespace amaranthlatch::distribution::details
