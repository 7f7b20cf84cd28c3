// Recovers what regular entry pushes do not deliver: the state of a starting node, entries below
// the retained range of the log, and proof that enough nodes hold the received entries. Sources in
// order of preference: peers of the zone, other nodes, the log, the log's snapshot stream.

#pragma once

#include <optional>

#include "amaranthlatch/distribution/options.h"
#include "anti_entropy.h"
#include "context.h"
#include "entry_exchange.h"
#include "log_follower.h"
#include "readiness.h"
#include "snapshot_transfer.h"

namespace amaranthlatch::distribution::details {

class CatchUp {
 public:
  CatchUp(const Options& options, Topology& topology, const Replica& replica,
          const Readiness& readiness, const LogFollower& log, const SnapshotReceiver& receiver,
          AntiEntropy& anti_entropy, EntryExchange& exchange, utils::Random& random);

  void Run(const Context& context);
  std::optional<utils::Timestamp> NextWake() const;

  // How the log follower should read the log at present.
  LogFollower::Mode LogMode(const Context& context, bool reader) const;

  // Whether a snapshot is needed that peers have not supplied and the log's stream must provide.
  bool NeedsStreamSnapshot(const Context& context) const;

  bool JoinDelayElapsed(utils::Timestamp now) const {
    return this->join_at && *this->join_at <= now;
  }

 private:
  enum class Need : std::uint8_t { kNone, kState, kEntries, kWitnesses };

  Need DetermineNeed(const Context& context) const;
  std::optional<membership::NodeId> ChoosePeer(const Context& context);
  bool IsStalled(utils::Timestamp now) const;
  bool CanUsePeers(const Context& context) const;

  const Options& options;
  Topology& topology;
  const Replica& replica;
  const Readiness& readiness;
  const LogFollower& log;
  const SnapshotReceiver& receiver;
  AntiEntropy& anti_entropy;
  EntryExchange& exchange;
  utils::Random& random;
  std::optional<utils::Timestamp> join_at;
  utils::Timestamp next_request_at{};
  Need need = Need::kNone;
  Offset last_held_offset = 0;
  utils::Timestamp last_progress{};
};

}  // namespace amaranthlatch::distribution::details
