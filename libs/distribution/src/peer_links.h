// What this node knows about each peer: what it holds, what is on its way to it, whether it
// answers.

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
  // The peer's present process is known to hold entries up to here.
  Offset held_offset = 0;
  // The peer had another state at an offset that both know: no state is taken from it.
  bool state_diverged = false;
  // At most one push is unacknowledged at any time.
  bool push_in_flight = false;
  Offset pushed_after = 0;
  // Offset of the last push that named too few holders for the peer to put it in force; 0 for none.
  Offset unwitnessed_offset = 0;
  utils::Timestamp push_deadline{};
  utils::Timestamp unreachable_until{};
  // No pushes before this time: the last ones made no progress.
  utils::Timestamp push_backoff_until{};
  utils::Duration push_backoff{};
};

class PeerLinks {
 public:
  // The link to a member. Starts afresh where the member has another process than before, because
  // that one holds nothing.
  PeerLink& Get(const Context& context, const membership::NodeId& id);

  // The peer has shown that it holds entries up to `held`.
  void UpdateHeldOffset(const Context& context, const membership::NodeId& id, Offset held);

  // Forgets what the peer holds: its process has just started.
  void ResetHeldOffset(const membership::NodeId& id);
  void ResetAllHeldOffsets();

  void MarkReachable(const Context& context, const membership::NodeId& id);
  void MarkUnreachable(const Context& context, const membership::NodeId& id);
  bool IsReachable(const membership::NodeId& id, utils::Timestamp now) const;

  // Zone peers other than `except` that are known to hold `offset`, counted up to the largest
  // number of witnesses.
  std::uint32_t CountHolders(Offset offset, const membership::NodeId& except) const;

  // Zone peers that hold what the last push brought them but were told of too few holders.
  std::vector<membership::NodeId> PeersAwaitingWitnesses() const;

  // Highest offset that at least `count` zone peers hold.
  Offset OffsetHeldByAtLeast(std::size_t count) const;

  // Gives up pushes past their deadline; returns how many.
  std::size_t ExpirePushes(utils::Timestamp now);
  std::optional<utils::Timestamp> NextDeadline() const;

  // Takes over changes of the members: drops links to nodes that are none any more, and starts
  // those with another process afresh.
  void Refresh(const Context& context);

 private:
  std::map<membership::NodeId, PeerLink> links;
};

}  // namespace amaranthlatch::distribution::details
