// Implementation of the tree, gossip and poll strategies.

#include "amaranthlatch/distribution/spread_strategy.h"

#include <algorithm>

#include "topology.h"

namespace amaranthlatch::distribution {

namespace {

using details::NodeIds;
using details::Topology;

// Maximum number of unreachable nodes replaced by their children in one tree. Anti-entropy repairs
// the remaining subtrees.
constexpr std::size_t kMaxSkippedNodes = 32;

NodeIds RandomPeers(const NodeIds& order, const membership::NodeId& self, std::size_t count,
                    const SpreadStrategy::Reachable& reachable, utils::Random& random) {
  NodeIds result;
  if (order.empty()) {
    return result;
  }
  // Draws up to twice as often as needed, because some draws hit this node, a duplicate or an
  // unreachable node.
  for (std::size_t draw = 0; draw < 2 * count && result.size() < count; ++draw) {
    const membership::NodeId& peer = order[random.Uniform(order.size())];
    const bool repeated = std::find(result.begin(), result.end(), peer) != result.end();
    if (peer != self && !repeated && reachable(peer)) {
      result.push_back(peer);
    }
  }
  return result;
}

// The reader pushes to the root of each zone in its region, and every node pushes to its children.
// An unreachable node is replaced by its children.
class TreeSpread final : public SpreadStrategy {
 public:
  explicit TreeSpread(const Options& options)
      : fanout(options.fanout), copies(options.gossip_copies) {}

  std::vector<membership::NodeId> Targets(EntrySource source, Topology& topology,
                                          const Reachable& reachable,
                                          utils::Random& random) const override {
    NodeIds pending = topology.Children(topology.Zone(), topology.Self(), this->fanout);
    if (source == EntrySource::kZonePeer) {
      pending.clear();
    }
    NodeIds result;
    this->Expand(topology.Zone(), pending, topology, reachable, result);
    if (source == EntrySource::kLog) {
      for (const std::string& zone : topology.ZonesOfRegion()) {
        const NodeIds& order = topology.ZoneOrder(zone);
        const NodeIds root(order.begin(), order.begin() + (order.empty() ? 0 : 1));
        this->Expand(zone, root, topology, reachable, result);
      }
    }
    const NodeIds copies = RandomPeers(topology.ZoneOrder(topology.Zone()), topology.Self(),
                                       this->copies, reachable, random);
    result.insert(result.end(), copies.begin(), copies.end());
    return result;
  }

 private:
  void Expand(const std::string& zone, NodeIds pending, Topology& topology,
              const Reachable& reachable, NodeIds& result) const {
    std::size_t skipped = 0;
    for (std::size_t i = 0; i < pending.size(); ++i) {
      const membership::NodeId id = pending[i];
      if (id == topology.Self()) {
        continue;
      }
      if (reachable(id)) {
        result.push_back(id);
      } else if (skipped++ < kMaxSkippedNodes) {
        const NodeIds children = topology.Children(zone, id, this->fanout);
        pending.insert(pending.end(), children.begin(), children.end());
      }
    }
  }

  std::uint32_t fanout;
  std::uint32_t copies;
};

// Every node pushes to random zone peers; the reader also to random nodes of the other zones in its
// region.
class GossipSpread final : public SpreadStrategy {
 public:
  explicit GossipSpread(const Options& options) : fanout(options.gossip_fanout) {}

  std::vector<membership::NodeId> Targets(EntrySource source, Topology& topology,
                                          const Reachable& reachable,
                                          utils::Random& random) const override {
    NodeIds result;
    for (const std::string& zone : topology.ZonesOfRegion()) {
      if (source != EntrySource::kLog && zone != topology.Zone()) {
        continue;
      }
      const NodeIds peers =
          RandomPeers(topology.ZoneOrder(zone), topology.Self(), this->fanout, reachable, random);
      result.insert(result.end(), peers.begin(), peers.end());
    }
    return result;
  }

 private:
  std::uint32_t fanout;
};

// No pushes: every node reads the log.
class PollSpread final : public SpreadStrategy {
 public:
  std::vector<membership::NodeId> Targets(EntrySource /*source*/, Topology& /*topology*/,
                                          const Reachable& /*reachable*/,
                                          utils::Random& /*random*/) const override {
    return {};
  }
  bool EveryNodeReadsLog() const override { return true; }
};

}  // namespace

std::unique_ptr<SpreadStrategy> MakeSpreadStrategy(const Options& options) {
  switch (options.spread) {
    case SpreadKind::kGossip:
      return std::make_unique<GossipSpread>(options);
    case SpreadKind::kPoll:
      return std::make_unique<PollSpread>();
    case SpreadKind::kTree:
      break;
  }
  return std::make_unique<TreeSpread>(options);
}

}  // namespace amaranthlatch::distribution
