// Periodic comparison with other nodes: within the zone, and between the readers of regions.

#pragma once

#include <optional>
#include <string>

#include "amaranthlatch/distribution/options.h"
#include "amaranthlatch/utils/random.h"
#include "context.h"
#include "entry_exchange.h"
#include "topology.h"

namespace amaranthlatch::distribution::details {

class AntiEntropy {
 public:
  AntiEntropy(const Options& options, Topology& topology, PeerLinks& links, EntryExchange& exchange,
              utils::Random& random);

  // `reader` tells whether this node follows the log for its region, `log_reachable` whether the
  // log answers.
  void Run(const Context& context, bool reader, bool log_reachable);
  std::optional<utils::Timestamp> NextWake() const;

  // A random zone peer that is not known to be unreachable; none where there is none.
  std::optional<membership::NodeId> RandomZonePeer(const Context& context);

  // A candidate reader of the own region, or a reader of another one.
  std::optional<membership::NodeId> RandomReader(const Context& context);

 private:
  std::optional<membership::NodeId> RandomRemoteReader(const Context& context, bool log_region);
  std::optional<membership::NodeId> ChooseReachable(const Context& context, const NodeIds& ids);
  utils::Duration WithJitter(utils::Duration interval);

  const Options& options;
  Topology& topology;
  PeerLinks& links;
  EntryExchange& exchange;
  utils::Random& random;
  std::optional<utils::Timestamp> next_digest;
  std::optional<utils::Timestamp> next_region_sync;
};

}  // namespace amaranthlatch::distribution::details
