// The membership reducer: member records, failure detection and their dissemination.

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
  // Fails with kSettingsOutOfRange.
  static utils::Result<Membership> Create(const Options& options);

  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;
  ~Membership();

  std::vector<Effect> Reduce(const Event& event, utils::Timestamp now);
  // None before the first event and after this node has left.
  std::optional<utils::Timestamp> NextWake() const;

  const MemberView& View() const;
  const Counters& GetCounters() const;
  // Known records by state, dead members and those that left among them.
  std::map<MemberState, std::size_t> CountByState() const;

  // Whether the failure detector declares no member dead at present.
  bool IsHolding() const;
  // Whether failed probes meet silence of all peers: this node is cut off or alone.
  bool IsIsolated() const;
  // When a peer last answered a probe of this node; none before the first answer.
  std::optional<utils::Timestamp> LastProbeAckTime() const;

 private:
  struct Impl;
  explicit Membership(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl;
};

}  // namespace amaranthlatch::membership
