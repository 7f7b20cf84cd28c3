// Finds zone members that do not answer: probes, indirect probes, suspicion and hold.

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
  // `Digests` of outgoing probes come from the caller, so that this class only knows probing.
  void Start(Context& context);

  // Sends what is due. Returns the members that are now to be marked dead.
  std::vector<Member> Advance(Context& context, const ZoneDigests& digests);
  std::optional<utils::Timestamp> NextWake(const Options& options) const;

  // Any message of a peer shows that it lives.
  void OnMessageReceived(Context& context, const NodeId& from);
  void OnAck(Context& context, const ProbeAck& ack);
  void OnIndirectProbe(Context& context, const NodeId& from, const IndirectProbe& request,
                       const ZoneDigests& digests);
  void OnUnreachable(Context& context, const NodeId& id, const ZoneDigests& digests);
  void OnMemberChanged(Context& context, const Member& member, bool added);

  // Forgets open probes and restarts suspicion: after a pause, silence proves nothing.
  void ResetAfterPause(Context& context);

  // True while a probe is due in this step; the digest exchange between zones follows its rhythm.
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
  // Zone members in random order; positions before `position` were probed in this round.
  std::vector<NodeId> probe_order;
  std::size_t probe_position = 0;
  std::map<NodeId, Suspicion> suspects;
  // The suspect after which the next repeated probe continues.
  NodeId suspect_cursor;
  // Members probed within the hold window, with the time of the last probe.
  std::map<NodeId, utils::Timestamp> recent_probes;
  // Times at which zone members were marked dead, by whomever, within the hold window.
  std::deque<utils::Timestamp> recent_deaths;
  utils::Timestamp next_probe{};
  utils::Timestamp last_message_time{};
  utils::Timestamp hold_since{};
  bool holding = false;
  // A hold reached its limit; no other begins until the share of failed members has fallen.
  bool hold_limit_reached = false;
  bool probe_due = false;
};

}  // namespace amaranthlatch::membership::details
