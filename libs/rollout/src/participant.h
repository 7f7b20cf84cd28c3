// What the gate of the local backend server may do, and what it reports.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "amaranthlatch/membership/member_view.h"
#include "amaranthlatch/rollout/effect.h"
#include "amaranthlatch/rollout/event.h"
#include "amaranthlatch/rollout/message.h"
#include "amaranthlatch/rollout/options.h"
#include "run_counters.h"
#include "timing.h"

namespace amaranthlatch::rollout::details {

class Participant {
 public:
  explicit Participant(const Options& options) : options(options) {}

  void OnServer(const BackendServerChanged& changed, utils::Timestamp now);
  // Takes part in another order of the service.
  void SetOrder(const Order& order, utils::Timestamp now, const membership::MemberView& members);
  // Releases the hold of an unexplained version when it is explained or its time is over.
  void UpdateHold(bool orders_known, utils::Timestamp now, const membership::MemberView& members);
  void OnRunStarted(const RunStarted& run, utils::Timestamp now);
  void OnRunEnded(const RunEnded& run, utils::Timestamp now);
  // Returns whether the directive is in force now; if not, it is outdated.
  bool OnDirective(const Directive& directive, utils::Timestamp now);
  // The sender of a redirect knows this term and this stop.
  void OnRedirect(const Redirect& redirect);
  void OnVerdict(State state, const std::vector<std::string>& replaced_versions);

  const BackendServerChanged& Server() const { return this->server; }
  const std::optional<Order>& CurrentOrder() const { return this->order; }
  // Whether there is an order without a known verdict.
  bool IsActive() const { return this->order && !this->verdict; }
  const std::optional<State>& Verdict() const { return this->verdict; }
  const std::vector<std::string>& ReplacedVersions() const { return this->replaced_versions; }
  utils::Duration Elapsed(utils::Timestamp now) const { return this->elapsed.At(now); }
  void RaiseElapsed(utils::Duration known, utils::Timestamp now) {
    this->elapsed.Raise(known, now);
  }
  std::uint64_t Term() const { return this->term; }
  Phase CurrentPhase() const;
  bool IsStopped() const { return this->stopped; }
  std::uint64_t Started() const { return this->counters.Started(); }
  std::uint64_t Allowance() const { return this->allowance; }
  // Whether this gate accepts calls only while its lease lasts.
  bool NeedsLease() const;
  // The runs in progress and those that the allowance leaves; none if it limits nothing.
  std::optional<std::uint64_t> RunLimit() const;
  // Whether the gate accepts no more calls and its last run has ended, which the coordinator waits
  // for in phase kRetire.
  bool HasBecomeIdle() const;
  bool IsHeld() const { return this->held; }

  AdmissionChanged Admission(utils::Timestamp now) const;
  Report MakeReport(utils::Timestamp now, bool coordinator_lost);
  // Answers a report with the verdict, which must be known.
  Directive MakeVerdict(const Report& report, utils::Timestamp now) const;

  // When the admission, which is `current`, changes without an event, or a hold has to be checked
  // again.
  std::optional<utils::Timestamp> NextWake(const AdmissionChanged& current) const;

 private:
  bool IsNew() const { return this->order && this->server.version == this->order->target_version; }
  AdmissionChanged NewVersionAdmission(utils::Timestamp now) const;

  const Options& options;
  BackendServerChanged server;
  utils::Timestamp cold_until{};
  // Increases with each change of the version or the service.
  std::uint64_t server_number = 0;
  // Runs in progress, also those that started before the order was known.
  std::uint64_t running = 0;

  // A server of an unexplained version is held back until then.
  bool held = false;
  utils::Timestamp hold_until{};
  utils::Timestamp hold_checked{};

  std::optional<Order> order;
  std::optional<State> verdict;
  // See StatusRecord; from the last directive, or from earlier orders before the first one.
  std::vector<std::string> replaced_versions;
  // Target of the previous order, if no verdict of it was known when it was replaced.
  std::string superseded_target;
  ElapsedTime elapsed;
  // Highest term of an accepted directive or a redirect, and the sequence of the last directive.
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
  // In force, and the highest one known.
  Phase phase = Phase::kNone;
  Phase highest_phase = Phase::kNone;
  // Once known, the new version serves no more until a verdict says otherwise.
  bool stopped = false;
  bool in_place = false;
  // Whether a directive for the current server and order was accepted.
  bool has_directive = false;
  bool announce = false;
  std::uint64_t allowance = 0;
  std::uint64_t granted = 0;
  utils::Timestamp lease_end{};
  RunCounters counters;
  utils::Duration last_report{};
  bool reported_idle = false;
};

}  // namespace amaranthlatch::rollout::details
