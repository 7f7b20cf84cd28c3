// Strategies that select the peers to which a node pushes new entries.

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

// Origin of received entries.
enum class EntrySource : std::uint8_t {
  kLog,
  // Parent in the distribution tree of the zone.
  kParent,
  kOtherZone,
  // Zone peer other than the parent, such as one that answered a request.
  kZonePeer,
};

class SpreadStrategy {
 public:
  using Reachable = std::function<bool(const membership::NodeId&)>;

  virtual ~SpreadStrategy() = default;

  // Peers to which this node pushes new entries from `source`.
  virtual std::vector<membership::NodeId> Targets(EntrySource source, details::Topology& topology,
                                                  const Reachable& reachable,
                                                  utils::Random& random) const = 0;

  // Whether every node reads the log itself and exchanges no entries with its peers.
  virtual bool EveryNodeReadsLog() const { return false; }
};

std::unique_ptr<SpreadStrategy> MakeSpreadStrategy(const Options& options);

}  // namespace amaranthlatch::distribution
