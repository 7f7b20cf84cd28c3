// Snapshot transfer between peers: the receiver requests one chunk at a time, and the sender limits
// the number of concurrent transfers.

#pragma once

#include <map>
#include <optional>

#include "amaranthlatch/distribution/counters.h"
#include "amaranthlatch/distribution/options.h"
#include "amaranthlatch/utils/random.h"
#include "context.h"
#include "peer_links.h"
#include "replica.h"
#include "snapshot_codec.h"

namespace amaranthlatch::distribution::details {

class SnapshotSender {
 public:
  SnapshotSender(const Options& options, const Replica& replica, Counters& counters)
      : options(options), replica(replica), counters(counters) {}

  // Sends the requested chunk, or a retry delay if this node holds no state or the transfer limit
  // is reached.
  void OnRequest(const Context& context, const membership::NodeId& to,
                 const SnapshotRequest& request);

 private:
  bool AdmitTransfer(const Context& context, const membership::NodeId& to);
  void RefreshSnapshot();

  const Options& options;
  const Replica& replica;
  Counters& counters;
  // Time of the last request of each active transfer; at most Options::snapshot_transfers.
  std::map<membership::NodeId, utils::Timestamp> transfers;
  std::optional<Snapshot> snapshot;
};

class SnapshotReceiver {
 public:
  SnapshotReceiver(const Options& options, Replica& replica, Counters& counters,
                   utils::Random& random)
      : options(options), replica(replica), counters(counters), random(random) {}

  bool Receiving() const { return this->transfer.has_value(); }

  // Earliest time at which a new transfer may be requested from a peer.
  utils::Timestamp EarliestRequestTime() const { return this->earliest_request_time; }

  // Returns whether a complete snapshot was installed.
  bool OnChunk(const Context& context, const membership::NodeId& from, const SnapshotChunk& chunk);
  void OnRetryLater(const Context& context, const membership::NodeId& from,
                    const SnapshotRetryLater& message);
  void OnUnreachable(const membership::NodeId& from);

  // Requests the next chunk when it is due and abandons a transfer whose sender has stopped
  // responding.
  void Run(const Context& context);
  std::optional<utils::Timestamp> NextWake() const;

 private:
  struct Transfer {
    membership::NodeId from;
    Snapshot snapshot;
    std::uint32_t count = 0;
    // Set while the next chunk has not been requested yet.
    std::optional<utils::Timestamp> next_request_at;
    utils::Timestamp deadline{};
    std::uint32_t attempts = 0;
  };

  bool Start(const Context& context, const membership::NodeId& from, const SnapshotChunk& chunk);
  bool Finish();

  const Options& options;
  Replica& replica;
  Counters& counters;
  utils::Random& random;
  std::optional<Transfer> transfer;
  utils::Timestamp earliest_request_time{};
};

}  // namespace amaranthlatch::distribution::details
