// Entries between peers: pushes and their acknowledgements, requests, digests.

#pragma once

#include <optional>
#include <string>

#include "amaranthlatch/distribution/counters.h"
#include "amaranthlatch/distribution/options.h"
#include "context.h"
#include "peer_links.h"
#include "replica.h"
#include "snapshot_transfer.h"
#include "topology.h"

namespace amaranthlatch::distribution::details {

class EntryExchange {
 public:
  EntryExchange(const Options& options, Replica& replica, PeerLinks& links, Topology& topology,
                SnapshotSender& snapshots, Counters& counters);

  // Sends entries above `after` unless a push to the peer is in flight or it makes no progress;
  // then its acknowledgement or a later digest continues.
  void Push(const Context& context, const membership::NodeId& to, Offset after);

  // Returns whether entries were applied.
  bool OnPush(const Context& context, const membership::NodeId& from, const EntriesPush& push);
  void OnAck(const Context& context, const membership::NodeId& from, const EntriesAck& ack);
  void OnRequest(const Context& context, const membership::NodeId& from,
                 const EntriesRequest& request);
  void OnDigest(const Context& context, const membership::NodeId& from, const Digest& digest);

  void SendDigest(const Context& context, const membership::NodeId& to);

  // Asks a peer for the entries above the held offset. It answers in any case, and thereby shows
  // what it holds.
  void RequestEntries(const Context& context, const membership::NodeId& peer,
                      std::uint32_t token = 0);

  // The same where a peer is known to be ahead; at most one such request is open at a time.
  void RequestEntriesOnce(const Context& context, const membership::NodeId& peer);

  // Highest offset of which a peer has said that enough others of the zone hold it.
  Offset ReportedWitnessedOffset() const { return this->reported_witnessed_offset; }
  void ResetReportedWitnessedOffset() { this->reported_witnessed_offset = 0; }

  // The number of holders from which such a report counts.
  void SetWitnessesNeeded(std::size_t count) { this->witnesses_needed = count; }

 private:
  // Tells peers that were pushed entries with too few holders once enough others hold them, so that
  // they need not ask.
  void ReportWitnessedOffsets(const Context& context);
  bool InSameZone(const Context& context, const membership::NodeId& id) const;
  std::uint32_t CountZoneHolders(const Context& context, const membership::NodeId& to,
                                 Offset offset);
  void SendEntries(const Context& context, const membership::NodeId& to,
                   const EntriesRequest& request);
  // Shows what this node holds.
  void SendEmptyPush(const Context& context, const membership::NodeId& to, std::uint32_t token);
  bool ApplyEntries(const Context& context, const membership::NodeId& from,
                    const EntriesPush& push);

  const Options& options;
  Replica& replica;
  PeerLinks& links;
  Topology& topology;
  SnapshotSender& snapshots;
  Counters& counters;
  utils::Timestamp request_open_until{};
  Offset reported_witnessed_offset = 0;
  std::size_t witnesses_needed = 0;
};

}  // namespace amaranthlatch::distribution::details
