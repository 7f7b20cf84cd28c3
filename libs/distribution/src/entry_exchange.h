// Exchange of entries between peers by pushes, acknowledgements, requests and digests.

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

  // Sends the entries above `after`. Does nothing while another push to the peer is in flight or
  // pushes to it back off; the acknowledgement or a later digest then triggers the next push.
  void Push(const Context& context, const membership::NodeId& to, Offset after);

  // Returns whether entries were applied.
  bool OnPush(const Context& context, const membership::NodeId& from, const EntriesPush& push);
  void OnAck(const Context& context, const membership::NodeId& from, const EntriesAck& ack);
  void OnRequest(const Context& context, const membership::NodeId& from,
                 const EntriesRequest& request);
  void OnDigest(const Context& context, const membership::NodeId& from, const Digest& digest);

  void SendDigest(const Context& context, const membership::NodeId& to);

  // Requests the entries above the held offset from a peer. A peer that has none answers with an
  // empty push that reports its own held offset.
  void RequestEntries(const Context& context, const membership::NodeId& peer,
                      std::uint32_t token = 0);

  // Like RequestEntries(), for a peer known to be ahead, but does nothing while a request is open.
  void RequestEntriesOnce(const Context& context, const membership::NodeId& peer);

  // Highest offset that enough nodes of the zone hold according to a zone peer.
  Offset ReportedWitnessedOffset() const { return this->reported_witnessed_offset; }
  void ResetReportedWitnessedOffset() { this->reported_witnessed_offset = 0; }

  // Sets the holder count required for such a report.
  void SetWitnessesNeeded(std::size_t count) { this->witnesses_needed = count; }

 private:
  // Notifies peers whose last push named too few holders once enough nodes hold its entries, so
  // that they need not send requests.
  void ReportWitnessedOffsets(const Context& context);
  bool InSameZone(const Context& context, const membership::NodeId& id) const;
  std::uint32_t CountZoneHolders(const Context& context, const membership::NodeId& to,
                                 Offset offset);
  void SendEntries(const Context& context, const membership::NodeId& to,
                   const EntriesRequest& request);
  // Reports the held offset in a push without entries.
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
