// Compares digests with peers and exchanges the records of zones that differ.

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
  // Digests of a probe at rest: the own zone's and the sum of all zones under the empty name.
  static ZoneDigests SummaryDigests(const Context& context);

  void OnProbe(Context& context, Dissemination& dissemination, const NodeId& from,
               const Probe& probe);
  void OnAck(Context& context, Dissemination& dissemination, const NodeId& from,
             const ProbeAck& ack);
  void OnZoneRecordsRequest(Context& context, const NodeId& from,
                            const ZoneRecordsRequest& request);
  void OnZoneRecords(Context& context, const ZoneRecords& page);

  // Asks for a zone's records, at once or when a running request has ended.
  void RequestZone(Context& context, const std::string& zone, const NodeId& peer);

  // A gateway's turn to compare digests with another zone.
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
  // When the digests of a zone were first seen to differ, until they are seen equal.
  std::map<std::string, utils::Timestamp> mismatch_since;
  // Members of other zones whose digests are compared again, and when.
  std::map<NodeId, utils::Timestamp> recheck_times;
  // The member of another zone that was probed last, until it answers.
  NodeId other_zone_target;
  utils::Timestamp other_zone_probe_time{};
  std::string last_probed_zone;
};

}  // namespace amaranthlatch::membership::details
