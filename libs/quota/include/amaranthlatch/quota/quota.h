// The quota reducer: admits calls of workspaces within limits that hold for all nodes together.
//
// Each node owns an equal share of every limit. It delegates its share to the holder of its zone,
// which refills the credit of the workspaces and grants it to the nodes where calls arrive. Credit
// is moved and never copied, so that lost, duplicated or delayed messages, restarts and partitions
// lose credit and create none (docs/design/quotas.md).

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "amaranthlatch/membership/member_view.h"
#include "amaranthlatch/quota/effect.h"
#include "amaranthlatch/quota/event.h"
#include "amaranthlatch/quota/options.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::quota {

struct Counters {
  // Calls of workspaces with a limit.
  std::uint64_t calls_admitted = 0;
  std::uint64_t calls_refused = 0;
  // Calls that waited for credit, admitted later or not, and those whose wait ended by the limit.
  std::uint64_t calls_waited = 0;
  std::uint64_t calls_timed_out = 0;
  std::uint64_t requests_sent = 0;
  std::uint64_t transfer_requests_sent = 0;
  // Grants and transfers that came too late, twice, or for an earlier process.
  std::uint64_t grants_rejected = 0;
  std::uint64_t transfers_rejected = 0;
  // Credit for whole calls, received and expired without use.
  std::uint64_t credit_received = 0;
  std::uint64_t credit_expired = 0;
  std::uint64_t holder_changes = 0;
  bool operator==(const Counters&) const = default;
};

struct Gauges {
  // Workspaces with state here: as entry node, and as holder.
  std::size_t active_workspaces = 0;
  std::size_t accounts = 0;
  std::size_t calls_waiting = 0;
  // Nodes whose share this node refills credit from.
  std::size_t delegations = 0;
  // The node that grants credit to this one; empty while there is none.
  membership::NodeId holder;
  bool operator==(const Gauges&) const = default;
};

class Quota {
 public:
  // Fails with kSettingsOutOfRange if `options` are invalid.
  static utils::Result<Quota> Create(const Options& options);

  Quota(Quota&&) noexcept;
  Quota& operator=(Quota&&) noexcept;
  ~Quota();

  // Applies an event and returns the effects to perform, in order.
  std::vector<Effect> Reduce(const Event& event, utils::Timestamp now,
                             const membership::MemberView& members);
  // When the next WakeUp event is due; none while no workspace has a limit.
  std::optional<utils::Timestamp> NextWake() const;

  const Counters& GetCounters() const;
  Gauges GetGauges() const;

 private:
  struct Impl;
  explicit Quota(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl;
};

}  // namespace amaranthlatch::quota
