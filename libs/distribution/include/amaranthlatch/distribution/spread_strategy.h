// How new entries reach the other nodes of a zone.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "amaranthlatch/distribution/options.h"
#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/random.h"

namespace amaranthlatch::distribution {

namespace details {
class Topology;
}  // namespace details

// Where entries came from.
enum class EntrySource : std::uint8_t {
  kLog,
  // The parent in the tree of the zone.
  kParent,
  kOtherZone,
  // A zone peer that repaired a gap of this node.
  kZonePeer,
};

class SpreadStrategy {
 public:
  using Reachable = std::function<bool(const membership::NodeId&)>;

  virtual ~SpreadStrategy() = default;

  // Nodes that this node pushes new entries to.
  virtual std::vector<membership::NodeId> Targets(EntrySource source, details::Topology& topology,
                                                  const Reachable& reachable,
                                                  utils::Random& random) const = 0;

  // Whether every node follows the log itself and exchanges nothing with its peers.
  virtual bool EveryNodeReadsLog() const { return false; }
};

std::unique_ptr<SpreadStrategy> MakeSpreadStrategy(const Options& options);

}  // namespace amaranthlatch::distribution
