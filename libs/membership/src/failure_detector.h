// SWIM-style failure detector for the members of this node's zone: sends direct and indirect
// probes, suspects members whose probes fail and declares them dead when the suspicion expires.
// During a mass failure, or while this node is isolated, it is in a hold: no member is declared
// dead.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "context.h"

namespace amaranthlatch::membership::details {

class FailureDetector {
 public:
  // The caller passes the digests for outgoing probes, so that this class does not depend on
  // anti-entropy.
  void Start(Context& context);

  // Sends the probes that are due. Returns records that mark expired suspects dead.
  std::vector<Member> Advance(Context& context, const ZoneDigests& digests);
  std::optional<utils::Timestamp> NextWake(const Options& options) const;

  // Clears the suspicion of the sender: any message proves that it is alive.
  void OnMessageReceived(Context& context, const NodeId& from);
  void OnAck(Context& context, const ProbeAck& ack);
  void OnIndirectProbe(Context& context, const NodeId& from, const IndirectProbe& request,
                       const ZoneDigests& digests);
  void OnUnreachable(Context& context, const NodeId& id, const ZoneDigests& digests);
  void OnMemberChanged(Context& context, const Member& member, bool added);

  // Discards open probes and restarts the suspicion timers, because acknowledgements that are
  // missing after a pause of this process are no evidence of a failure.
  void ResetAfterPause(Context& context);

  // Whether the last Advance() started a probe interval. Digests are compared with other zones at
  // the same interval.
  bool ProbeWasDue() const { return this->probe_due; }
  std::uint64_t NextSequence() { return ++this->sequence; }
  bool IsSuspect(const NodeId& id) const { return this->suspects.contains(id); }
  bool IsHolding() const { return this->holding; }
  bool IsIsolated(const Context& context) const;

 private:
  struct PendingProbe {
    NodeId target;
    utils::Timestamp sent_at{};
    bool indirect = false;
  };
  struct Suspicion {
    utils::Timestamp since{};
    utils::Timestamp deadline{};
  };
  struct RelayedProbe {
    NodeId requester;
    std::uint64_t sequence = 0;
    utils::Timestamp sent_at{};
  };

  void ProbeNext(Context& context, const ZoneDigests& digests);
  void ProbeSuspects(Context& context, const ZoneDigests& digests);
  void ProbeRandomMembers(Context& context, const ZoneDigests& digests, std::size_t count);
  void StartProbe(Context& context, const NodeId& target, const ZoneDigests& digests);
  void SendIndirectProbes(Context& context, std::uint64_t sequence, const NodeId& target);
  void CheckPendingProbes(Context& context, const ZoneDigests& digests);
  void OnProbeFailed(Context& context, const NodeId& target, const ZoneDigests& digests);
  void PruneWindows(Context& context);
  void UpdateHold(Context& context);
  bool IsMassFailure(const Context& context) const;
  std::vector<Member> TakeExpiredSuspects(Context& context);
  bool IsProbeTarget(const Context& context, const NodeId& id) const;

  std::uint64_t sequence = 0;
  std::map<std::uint64_t, PendingProbe> pending_probes;
  std::map<std::uint64_t, RelayedProbe> relayed_probes;
  // Zone members in random order; those before `probe_position` were probed in this round.
  std::vector<NodeId> probe_order;
  std::size_t probe_position = 0;
  std::map<NodeId, Suspicion> suspects;
  // Suspect that was probed last; the next probe goes to the one after it.
  NodeId suspect_cursor;
  // Time of the last probe of each member that was probed within the mass failure window.
  std::map<NodeId, utils::Timestamp> recent_probes;
  // When zone members were declared dead by any node, within the mass failure window.
  std::deque<utils::Timestamp> recent_deaths;
  utils::Timestamp next_probe{};
  utils::Timestamp last_message_time{};
  utils::Timestamp hold_since{};
  bool holding = false;
  // A hold reached its time limit. No other hold starts for a mass failure until the share of
  // failed members has fallen below the threshold.
  bool hold_limit_reached = false;
  bool probe_due = false;
};

}  // namespace amaranthlatch::membership::details
