// The rollout reducer: moves the traffic of a service to another version of its backend servers.
//
// Every node is a participant for the service of its backend server and may become the coordinator
// of that service's order. docs/design/rollouts.md describes the protocol.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "amaranthlatch/membership/member_view.h"
#include "amaranthlatch/rollout/effect.h"
#include "amaranthlatch/rollout/event.h"
#include "amaranthlatch/rollout/options.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::rollout {

struct Counters {
  std::uint64_t reports_sent = 0;
  std::uint64_t reports_received = 0;
  std::uint64_t directives_sent = 0;
  std::uint64_t directives_received = 0;
  // Directives ignored because of a higher term or sequence, or meant for an earlier process.
  std::uint64_t directives_stale = 0;
  std::uint64_t redirects_sent = 0;
  std::uint64_t redirects_received = 0;
  // Reports and redirects for another service or order.
  std::uint64_t messages_ignored = 0;
  // Coordinators given up as silent or unreachable.
  std::uint64_t coordinators_lost = 0;
  // Claims stored by this node, and terms that ended because another node claimed.
  std::uint64_t claims = 0;
  std::uint64_t claims_lost = 0;
  std::uint64_t status_reads_failed = 0;
  std::uint64_t verdicts = 0;
  std::uint64_t leases_expired = 0;
  std::uint64_t orders_invalid = 0;
  // Backend servers held back because of an unexplained version.
  std::uint64_t holds = 0;
  // Delays of this process that were noticed.
  std::uint64_t delays = 0;
  bool operator==(const Counters&) const = default;
};

struct Gauges {
  // Whether the service of this node has an order without a known verdict.
  bool active = false;
  bool coordinating = false;
  Phase phase = Phase::kNone;
  std::uint64_t term = 0;
  // Runs started since the order, and the number that may be started while exposure is limited.
  std::uint64_t started = 0;
  std::uint64_t allowance = 0;
  bool operator==(const Gauges&) const = default;
};

class Rollout {
 public:
  // Fails with kSettingsOutOfRange if `options` are invalid.
  static utils::Result<Rollout> Create(const Options& options);

  Rollout(Rollout&&) noexcept;
  Rollout& operator=(Rollout&&) noexcept;
  ~Rollout();

  // Applies an event and returns the effects to perform, in order. Members carry the version of
  // their backend server in the label `version`.
  std::vector<Effect> Reduce(const Event& event, utils::Timestamp now,
                             const membership::MemberView& members);
  // When the next WakeUp event is due; none if there is nothing to wait for.
  std::optional<utils::Timestamp> NextWake() const;

  // What the effects have last allowed.
  AdmissionChanged Admission() const;
  // What is allowed at `now`. Differs from Admission() after a pause of the process, when a lease
  // has expired and the WakeUp has not been handled yet: a gate asks before it starts a run.
  AdmissionChanged Admission(utils::Timestamp now) const;
  // Number of runs that may be in progress until the next event; none if the allowance does not
  // limit them. Bounds the runs that a gate starts before it reports the first of them.
  std::optional<std::uint64_t> RunLimit() const;

  const Counters& GetCounters() const;
  Gauges GetGauges() const;

 private:
  struct Impl;
  explicit Rollout(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl;
};

}  // namespace amaranthlatch::rollout
