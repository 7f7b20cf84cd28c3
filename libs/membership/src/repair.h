// Anti-entropy: compares digests with peers and transfers the records of zones that differ.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "context.h"
#include "dissemination.h"
#include "failure_detector.h"

namespace amaranthlatch::membership::details {

class Repair {
 public:
  // Digests in every probe: this node's zone, and the sum of all zones under an empty name.
  static ZoneDigests SummaryDigests(const Context& context);

  void OnProbe(Context& context, Dissemination& dissemination, const NodeId& from,
               const Probe& probe);
  void OnAck(Context& context, Dissemination& dissemination, const NodeId& from,
             const ProbeAck& ack);
  void OnZoneRecordsRequest(Context& context, const NodeId& from,
                            const ZoneRecordsRequest& request);
  void OnZoneRecords(Context& context, const ZoneRecords& page);

  // Requests a zone's records from `peer`, immediately or when an open request has ended.
  void RequestZone(Context& context, const std::string& zone, const NodeId& peer);

  // Probes the next other zone to compare digests, if this node is a gateway or standby gateway.
  void ProbeOtherZone(Context& context, Dissemination& dissemination, FailureDetector& detector);

  void Advance(Context& context, FailureDetector& detector);
  std::optional<utils::Timestamp> NextWake() const;

 private:
  struct Transfer {
    NodeId to;
    std::string zone;
    MemberList list;
    std::uint32_t next_page = 0;
  };
  struct Request {
    NodeId peer;
    utils::Timestamp deadline{};
  };

  void CompareDigests(Context& context, Dissemination& dissemination, const NodeId& from,
                      const ZoneDigests& peer_digests);
  void OnDigestMismatch(Context& context, Dissemination& dissemination, const NodeId& from,
                        const std::string& zone);
  void SendPages(Context& context);
  void SendQueuedRequests(Context& context);

  std::deque<Transfer> transfers;
  std::optional<utils::Timestamp> pages_due;
  std::map<std::string, Request> open_requests;
  std::map<std::string, NodeId> queued_requests;
  // When a digest mismatch of a zone was first observed; removed when the digests are equal again.
  std::map<std::string, utils::Timestamp> mismatch_since;
  // When to compare digests again with members of other zones.
  std::map<NodeId, utils::Timestamp> recheck_times;
  // Member of another zone that was probed last; empty after its acknowledgement.
  NodeId other_zone_target;
  utils::Timestamp other_zone_probe_time{};
  std::string last_probed_zone;
};

}  // namespace amaranthlatch::membership::details
