// Derives the reader candidates of a region and the distribution tree of a zone by rendezvous
// hashing of the members.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "amaranthlatch/membership/member_view.h"

namespace amaranthlatch::distribution::details {

using NodeIds = std::vector<membership::NodeId>;

// Results are cached until the member generation changes.
class Topology {
 public:
  // Must be called at the start of every event, before any other function.
  void Refresh(const membership::MemberView& members);

  const membership::NodeId& Self() const { return this->self; }
  const std::string& Zone() const { return this->zone; }
  const std::string& Region() const { return this->region; }

  // Members of a zone in rendezvous order; the first one is the root of the zone's tree.
  const NodeIds& ZoneOrder(const std::string& zone);

  // Nodes that may read the log for a region, in takeover order: the first three of the region,
  // then the first two of each zone, so that a partitioned zone has a reader too.
  const NodeIds& ReaderCandidates(const std::string& region);

  // Rank of this node among the reader candidates of its region; nullopt if it is not one.
  std::optional<std::size_t> OwnReaderRank();

  // Zones of this node's region.
  const std::vector<std::string>& ZonesOfRegion();
  // All regions.
  std::vector<std::string> Regions() const;

  // Members of this node's zone, except this node.
  const NodeIds& ZonePeers();

  // Children of `node` in the tree of `zone`.
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
  // Index of each node in zone_orders, by zone.
  std::map<std::string, std::map<membership::NodeId, std::size_t>> zone_positions;
  std::map<std::string, NodeIds> reader_candidates;
  std::optional<std::vector<std::string>> region_zone_names;
  std::optional<NodeIds> zone_peers;
};

}  // namespace amaranthlatch::distribution::details
