// Reducer for cluster membership: maintains the member records, detects failures and disseminates
// changes to the other nodes.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "amaranthlatch/membership/effect.h"
#include "amaranthlatch/membership/event.h"
#include "amaranthlatch/membership/member_view.h"
#include "amaranthlatch/membership/options.h"
#include "amaranthlatch/utils/result.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::membership {

// Event counts since creation.
struct Counters {
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t probes_sent = 0;
  std::uint64_t probes_failed = 0;
  std::uint64_t probes_answered = 0;
  std::uint64_t members_declared_dead = 0;
  std::uint64_t refutations = 0;
  std::uint64_t holds = 0;
  std::uint64_t records_changed = 0;
  std::uint64_t records_stale = 0;
  std::uint64_t records_expired = 0;
  std::uint64_t zone_transfers_requested = 0;
  std::uint64_t zone_transfers_sent = 0;
  std::uint64_t zone_transfers_refused = 0;
  std::uint64_t pauses = 0;
  bool operator==(const Counters&) const = default;
};

class Membership {
 public:
  // Fails with kSettingsOutOfRange for invalid options.
  static utils::Result<Membership> Create(const Options& options);

  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;
  ~Membership();

  // Applies one event and returns the effects to perform.
  std::vector<Effect> Reduce(const Event& event, utils::Timestamp now);
  // When to send the next WakeUp event. Empty before the first event, and after this node has left
  // and sent its last updates.
  std::optional<utils::Timestamp> NextWake() const;

  const MemberView& View() const;
  const Counters& GetCounters() const;
  // Number of known records by state, including dead members and members that left.
  std::map<MemberState, std::size_t> CountByState() const;

  // Whether the failure detector is in a hold and declares no member dead.
  bool IsHolding() const;
  // Whether members are suspected and no peer has sent a message within the suspect timeout, which
  // indicates that this node is partitioned from all peers.
  bool IsIsolated() const;
  // When this node last received a probe acknowledgement; empty before the first one.
  std::optional<utils::Timestamp> LastProbeAckTime() const;

 private:
  struct Impl;
  explicit Membership(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl;
};

}  // namespace amaranthlatch::membership
