// Admission, fencing and reports of a participant.

#include "participant.h"

#include <algorithm>

#include "versions.h"

namespace amaranthlatch::rollout::details {

namespace {

using utils::Duration;
using utils::Timestamp;

// How often a held version is compared with the members.
constexpr Duration kHoldCheckInterval = utils::Milliseconds(200);

// Typical time from the write of an order until the first node learns of it.
constexpr Duration kOrderTransit = utils::Milliseconds(500);

constexpr AdmissionChanged kOpen{true, true};
constexpr AdmissionChanged kClosed{false, false};

// Whether other ready members of the service have this version, and whether any has another one.
struct OtherVersions {
  bool same = false;
  bool different = false;
};

OtherVersions FindOtherVersions(const BackendServerChanged& server, const membership::NodeId& self,
                                const membership::MemberView& members) {
  OtherVersions result;
  for (const membership::Member& member : *members.ServiceMembers(server.service)) {
    if (member.id != self && member.state == membership::MemberState::kReady) {
      const std::string& version = VersionOf(member);
      result.same = result.same || version == server.version;
      result.different = result.different || (!version.empty() && version != server.version);
    }
  }
  return result;
}

}  // namespace

void Participant::OnServer(const BackendServerChanged& changed, Timestamp now) {
  if (!changed.available) {
    this->server.available = false;
    return;
  }
  const bool is_other =
      changed.service != this->server.service || changed.version != this->server.version;
  if (changed.service != this->server.service) {
    this->order.reset();
    this->verdict.reset();
    this->replaced_versions.clear();
    this->superseded_target.clear();
  }
  this->server = changed;
  this->cold_until = now + changed.cold_left;
  if (!is_other) {
    return;
  }
  ++this->server_number;
  this->counters = {};
  this->allowance = 0;
  this->announce = false;
  this->in_place = false;
  this->has_directive = false;
  this->lease_end = {};
  this->reported_idle = false;
  this->held = !changed.version.empty();
  this->hold_until = now + this->options.unexplained_hold;
}

void Participant::SetOrder(const Order& next, Timestamp now,
                           const membership::MemberView& members) {
  const bool was_open = this->Admission(now) == kOpen && this->server.available;
  this->superseded_target.clear();
  if (this->order) {
    const bool completed = this->verdict == State::kComplete;
    this->replaced_versions = ReplacedAfter(std::move(this->replaced_versions),
                                            this->order->target_version, completed, next);
    if (!this->verdict && this->order->target_version != next.target_version) {
      this->superseded_target = this->order->target_version;
    }
  }
  this->order = next;
  this->verdict.reset();
  this->elapsed = ElapsedTime(std::min(kOrderTransit, next.duration / 8), now);
  this->term = 0;
  this->sequence = 0;
  this->phase = Phase::kNone;
  this->highest_phase = Phase::kNone;
  this->stopped = false;
  this->announce = false;
  this->has_directive = false;
  this->allowance = 0;
  this->granted = 0;
  this->lease_end = {};
  this->counters = {};
  this->reported_idle = false;
  this->in_place = was_open && this->IsNew() &&
                   !FindOtherVersions(this->server, this->options.id, members).different;
}

void Participant::UpdateHold(bool orders_known, Timestamp now,
                             const membership::MemberView& members) {
  if (!this->held || !this->server.available) {
    return;
  }
  this->hold_checked = now;
  const OtherVersions others = FindOtherVersions(this->server, this->options.id, members);
  // Records of nodes that were lost in the middle of a rollout still name its version, so that
  // nothing is explained before the orders are known.
  const bool is_explained =
      (orders_known && (others.same || !others.different)) || this->has_directive;
  if (is_explained || now >= this->hold_until) {
    this->held = false;
  }
}

void Participant::OnRunStarted(const RunStarted& run, Timestamp now) {
  ++this->running;
  if (this->IsActive()) {
    this->counters.OnStarted(run, now < this->cold_until, now);
  }
}

void Participant::OnRunEnded(const RunEnded& run, Timestamp now) {
  this->running -= this->running > 0 ? 1 : 0;
  if (this->IsActive()) {
    this->counters.OnEnded(run, now);
  }
}

bool Participant::OnDirective(const Directive& directive, Timestamp now) {
  this->elapsed.Raise(directive.elapsed, now);
  if (IsVerdict(directive.phase)) {
    this->OnVerdict(directive.phase == Phase::kComplete ? State::kComplete : State::kRolledBack,
                    directive.replaced_versions);
    return true;
  }
  // A stop holds under any term.
  this->stopped = this->stopped || directive.phase == Phase::kStopped;
  const bool is_newer = directive.term > this->term ||
                        (directive.term == this->term && directive.sequence > this->sequence);
  if (!is_newer || directive.boot_id != this->options.boot_id ||
      directive.server != this->server_number) {
    return false;
  }
  this->has_directive = true;
  this->term = directive.term;
  this->sequence = directive.sequence;
  this->phase = directive.phase;
  this->highest_phase = std::max(this->highest_phase, directive.phase);
  this->announce = directive.announce;
  this->allowance = directive.allowance;
  this->granted = directive.granted;
  // The coordinator measures the lease from the report, so that a delayed directive does not extend
  // it.
  this->lease_end = Timestamp(directive.sent_at) + directive.lease;
  this->replaced_versions = directive.replaced_versions;
  return true;
}

void Participant::OnRedirect(const Redirect& redirect) {
  this->stopped = this->stopped || redirect.stopped;
  if (redirect.term > this->term) {
    this->term = redirect.term;
    this->sequence = 0;
  }
}

void Participant::OnVerdict(State state, const std::vector<std::string>& replaced) {
  this->verdict = state;
  this->replaced_versions = replaced;
  this->counters = {};
}

Phase Participant::CurrentPhase() const {
  if (this->verdict) {
    return *this->verdict == State::kComplete ? Phase::kComplete : Phase::kRolledBack;
  }
  return this->stopped ? Phase::kStopped : this->phase;
}

bool Participant::NeedsLease() const {
  return this->IsActive() && this->IsNew() && !this->stopped && this->announce &&
         IsLimited(this->phase);
}

std::optional<std::uint64_t> Participant::RunLimit() const {
  if (!this->NeedsLease()) {
    return std::nullopt;
  }
  const std::uint64_t started = this->counters.Started();
  return this->running + (this->allowance > started ? this->allowance - started : 0);
}

bool Participant::HasBecomeIdle() const {
  return this->phase == Phase::kRetire && !this->IsNew() && !this->reported_idle &&
         this->running == 0;
}

AdmissionChanged Participant::Admission(Timestamp now) const {
  if (this->IsNew()) {
    return this->NewVersionAdmission(now);
  }
  const bool is_retired = this->IsActive() && this->phase == Phase::kRetire && !this->stopped;
  const bool is_closed =
      this->held || is_retired || Contains(this->replaced_versions, this->server.version);
  return is_closed ? kClosed : kOpen;
}

AdmissionChanged Participant::NewVersionAdmission(Timestamp now) const {
  switch (this->CurrentPhase()) {
    case Phase::kNone:
      return this->in_place ? kOpen : kClosed;
    case Phase::kCanary:
    case Phase::kRamp:
      return {this->announce, this->announce && now < this->lease_end &&
                                  this->counters.Started() < this->allowance};
    case Phase::kPromote:
    case Phase::kRetire:
    case Phase::kComplete:
      return kOpen;
    case Phase::kStopped:
    case Phase::kRolledBack:
      break;
  }
  return kClosed;
}

Report Participant::MakeReport(Timestamp now, bool coordinator_lost) {
  Report report;
  report.service = this->order->service;
  report.order = this->order->position;
  report.version = this->server.version;
  report.boot_id = this->options.boot_id;
  report.server = this->server_number;
  this->last_report = std::max(now.time_since_epoch(), this->last_report + Duration(1));
  report.sent_at = this->last_report;
  report.term = this->term;
  report.sequence = this->sequence;
  report.phase = this->highest_phase;
  report.stopped = this->stopped;
  report.coordinator_lost = coordinator_lost;
  report.in_place = this->in_place;
  report.superseded =
      !this->superseded_target.empty() && this->superseded_target == this->server.version;
  report.elapsed = this->Elapsed(now);
  report.available = this->server.available;
  report.slots = this->server.slots;
  report.accepting = this->server.available && this->Admission(now).accept;
  report.cold_left = std::max(Duration{}, this->cold_until - now);
  report.started = this->counters.Started();
  report.running = this->running;
  report.allowance = this->allowance;
  report.granted = this->granted;
  report.routes = this->counters.ToRoutes();
  this->reported_idle = this->HasBecomeIdle() || this->reported_idle;
  return report;
}

Directive Participant::MakeVerdict(const Report& report, Timestamp now) const {
  Directive directive;
  directive.service = report.service;
  directive.order = report.order;
  directive.boot_id = report.boot_id;
  directive.server = report.server;
  directive.term = this->term;
  directive.phase = this->CurrentPhase();
  directive.elapsed = this->Elapsed(now);
  directive.replaced_versions = this->replaced_versions;
  return directive;
}

std::optional<Timestamp> Participant::NextWake(const AdmissionChanged& current) const {
  std::optional<Timestamp> next;
  if (this->held && this->server.available) {
    next = std::min(this->hold_until, this->hold_checked + kHoldCheckInterval);
  }
  if (current.accept && this->NeedsLease()) {
    next = next ? std::min(*next, this->lease_end) : this->lease_end;
  }
  return next;
}

}  // namespace amaranthlatch::rollout::details
