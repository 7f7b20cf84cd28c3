// Per-peer replication state: held offset, push in flight and reachability.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/time.h"
#include "context.h"

namespace amaranthlatch::distribution::details {

struct PeerLink {
  std::uint64_t boot_id = 0;
  bool in_own_zone = false;
  // Highest offset that the current process of the peer is known to hold.
  Offset held = 0;
  // The peer reported another state hash at an offset known here; no entries or snapshots are
  // accepted from it.
  bool state_diverged = false;
  // At most one push per peer is unacknowledged at any time.
  bool push_in_flight = false;
  Offset pushed_after = 0;
  // Last offset of a push that named too few holders for the peer to put it in force; 0 for none.
  Offset unwitnessed_offset = 0;
  utils::Timestamp push_deadline{};
  utils::Timestamp unreachable_until{};
  // No pushes before this time, because the last one made no progress.
  utils::Timestamp push_backoff_until{};
  utils::Duration push_backoff{};
};

class PeerLinks {
 public:
  // Returns the link to a peer; creates it if there is none.
  PeerLink& Get(const Context& context, const membership::NodeId& id);

  // Raises the held offset of the peer to at least `held`.
  void UpdateHeldOffset(const Context& context, const membership::NodeId& id, Offset held);

  // Resets the held offset of a peer whose process has just started.
  void ResetHeldOffset(const membership::NodeId& id);
  void ResetAllHeldOffsets();

  void MarkReachable(const Context& context, const membership::NodeId& id);
  void MarkUnreachable(const Context& context, const membership::NodeId& id);
  bool IsReachable(const membership::NodeId& id, utils::Timestamp now) const;

  // Number of zone peers other than `except` that are known to hold `offset`. Counting stops at the
  // largest permitted number of witnesses.
  std::uint32_t CountHolders(Offset offset, const membership::NodeId& except) const;

  // Zone peers that hold the entries of a push that named too few holders.
  std::vector<membership::NodeId> PeersAwaitingWitnesses() const;

  // Highest offset that at least `count` zone peers hold; 0 if `count` is 0 or exceeds the number
  // of known peers.
  Offset OffsetHeldByAtLeast(std::size_t count) const;

  // Expires pushes past their deadline and marks their peers unreachable. Returns the number of
  // expired pushes.
  std::size_t ExpirePushes(utils::Timestamp now);
  std::optional<utils::Timestamp> NextDeadline() const;

  // Applies membership changes: removes the links to nodes that left or died, and resets those
  // whose process restarted, because a new process holds nothing.
  void Refresh(const Context& context);

 private:
  std::map<membership::NodeId, PeerLink> links;
};

}  // namespace amaranthlatch::distribution::details
