// Anti-entropy: periodic digest exchange with random peers of the zone and between readers of
// different regions.

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

  // `reader`: this node reads the log for its region. `log_reachable`: the log answers its reads.
  void Run(const Context& context, bool reader, bool log_reachable);
  std::optional<utils::Timestamp> NextWake() const;

  // Returns a random zone peer that is not known to be unreachable, if a few draws find one.
  std::optional<membership::NodeId> RandomZonePeer(const Context& context);

  // Returns a random reader candidate of this region or of another one.
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
