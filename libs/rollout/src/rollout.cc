// Orders, reports and admission.

#include "amaranthlatch/rollout/rollout.h"

#include <algorithm>
#include <utility>

#include "ranking.h"
#include "rollout_impl.h"

namespace amaranthlatch::rollout {

namespace {

using membership::NodeId;
using utils::Duration;
using utils::Timestamp;

// Spreads the first reports of a service, which all nodes send when they learn of an order.
constexpr Duration kMaxFirstDelay = utils::Milliseconds(200);
// A report that the coordinator waits for is sent this long after the previous one.
constexpr Duration kEarlyReportDelay = utils::Milliseconds(50);

bool IsValid(const Order& order) {
  return !order.target_version.empty() && order.duration > Duration{};
}

}  // namespace

void Rollout::Impl::Handle(const OrdersChanged& event) {
  this->orders_known = true;
  this->orders = event.orders;
  this->UpdateOrder();
}

void Rollout::Impl::Handle(const BackendServerChanged& event) {
  const bool was_held = this->participant.IsHeld();
  const bool is_other_service =
      event.available && event.service != this->participant.Server().service;
  if (is_other_service && this->coordinator) {
    this->LoseClaim();
  }
  if (is_other_service) {
    this->link.Reset();
    this->waiting.clear();
    this->claim_until = {};
  }
  this->participant.OnServer(event, this->now);
  this->participant.UpdateHold(this->orders_known, this->now, *this->members);
  this->counters.holds += !was_held && this->participant.IsHeld() ? 1 : 0;
  this->UpdateOrder();
}

void Rollout::Impl::Handle(const PeerUnreachable& event) {
  if (this->participant.IsActive() && this->link.OnUnreachable(event.id, this->now)) {
    this->next_report = this->now;
  }
}

void Rollout::Impl::UpdateOrder() {
  const std::string& service = this->participant.Server().service;
  const Order* newest = nullptr;
  for (const Order& order : this->orders) {
    if (service.empty() || order.service != service) {
      continue;
    }
    if (!IsValid(order)) {
      this->RejectInvalidOrder(order);
    } else if (newest == nullptr || order.position > newest->position) {
      newest = &order;
    }
  }
  const std::optional<Order>& current = this->participant.CurrentOrder();
  // An older position comes from a source that is behind.
  if (newest == nullptr || (current && newest->position <= current->position)) {
    return;
  }
  if (this->coordinator) {
    Figures figures = this->coordinator->MakeFigures(this->now);
    figures.phase = Phase::kStopped;
    figures.reason = Reason::kOrderReplaced;
    this->effects.emplace_back(StageChanged{std::move(figures)});
    this->coordinator.reset();
  }
  this->participant.SetOrder(*newest, this->now, *this->members);
  this->link.Reset();
  this->claim_until = {};
  this->claim_insisted = false;
  this->waiting.clear();
  // The first candidate starts at once, so that the others find it claiming the order.
  const std::vector<NodeId> candidates = details::RankedCandidates(*newest, *this->members);
  const bool is_first = !candidates.empty() && candidates.front() == this->options.id;
  this->next_report = is_first ? this->now : this->now + this->random.Jitter(kMaxFirstDelay);
}

void Rollout::Impl::RejectInvalidOrder(const Order& order) {
  if (this->last_invalid_order && *this->last_invalid_order >= order.position) {
    return;
  }
  this->last_invalid_order = order.position;
  ++this->counters.orders_invalid;
  Figures figures;
  figures.service = order.service;
  figures.order = order.position;
  figures.target_version = order.target_version;
  figures.reason = Reason::kOrderInvalid;
  this->effects.emplace_back(StageChanged{std::move(figures)});
}

void Rollout::Impl::TrackDelays(Timestamp next) {
  const std::optional<Timestamp> due =
      this->participant.IsActive() ? this->NextWake() : std::nullopt;
  this->now = next;
  if (due && next - *due > details::kMaxWakeDelay) {
    ++this->counters.delays;
    this->link.OnDelayed(this->now);
    if (this->coordinator) {
      this->coordinator->OnDelayed(this->now);
    }
  }
}

Duration Rollout::Impl::CurrentReportInterval() const {
  const std::string& service = this->participant.Server().service;
  const Duration interval =
      details::ReportInterval(this->options, this->members->ServiceMembers(service)->size());
  return this->participant.NeedsLease()
             ? std::min(interval, this->options.max_lease_report_interval)
             : interval;
}

Timestamp Rollout::Impl::ReportDue() const {
  return this->participant.HasBecomeIdle()
             ? std::min(this->next_report, this->last_report + kEarlyReportDelay)
             : this->next_report;
}

void Rollout::Impl::PollReports() {
  if (this->link.Poll(this->now)) {
    ++this->counters.coordinators_lost;
    this->next_report = this->now;
  }
  if (this->now < this->ReportDue()) {
    return;
  }
  if (this->coordinator && this->link.Target() != this->options.id) {
    this->link.Follow(this->options.id, this->now);
  }
  if (this->link.Target().empty()) {
    std::vector<NodeId> candidates =
        details::RankedCandidates(*this->participant.CurrentOrder(), *this->members);
    // Comes last if its own server is not announced: others may not know this node.
    candidates.push_back(this->options.id);
    this->link.Choose(candidates, this->now);
  }
  const NodeId target = this->link.Target();
  this->last_report = this->now;
  if (target.empty()) {
    this->next_report = this->now + this->options.min_report_interval;
    return;
  }
  this->next_report = this->now + this->CurrentReportInterval();
  if (target == this->options.id && !this->coordinator) {
    this->next_report = this->now + this->options.min_report_interval;
    this->RequestClaim(this->link.HasLostCoordinator());
    return;
  }
  ++this->counters.reports_sent;
  this->Send(target, this->participant.MakeReport(this->now, this->link.HasLostCoordinator()));
  if (target != this->options.id) {
    this->link.OnReportSent(this->now);
  }
}

void Rollout::Impl::Send(const NodeId& to, Message message) {
  this->effects.emplace_back(SendMessage{to, std::move(message)});
}

void Rollout::Impl::DeliverOwnMessages() {
  for (std::size_t i = 0; i < this->effects.size();) {
    const auto* const send = std::get_if<SendMessage>(&this->effects[i]);
    if (send == nullptr || send->to != this->options.id) {
      this->counters.directives_sent +=
          send != nullptr && std::holds_alternative<Directive>(send->message) ? 1 : 0;
      ++i;
      continue;
    }
    const Message message = std::move(std::get<SendMessage>(this->effects[i]).message);
    this->effects.erase(this->effects.begin() + static_cast<std::ptrdiff_t>(i));
    std::visit([this](const auto& value) { this->HandleMessage(this->options.id, value); },
               message);
  }
}

void Rollout::Impl::UpdateAdmission() {
  const AdmissionChanged next = this->participant.Admission(this->now);
  if (next == this->admission) {
    return;
  }
  const bool has_expired = this->admission.accept && !next.accept &&
                           this->participant.NeedsLease() &&
                           this->participant.Started() < this->participant.Allowance();
  this->counters.leases_expired += has_expired ? 1 : 0;
  this->admission = next;
  this->effects.emplace_back(next);
}

utils::Result<Rollout> Rollout::Create(const Options& options) {
  if (options.id.empty() || options.exposure_share <= 0.0 || options.exposure_share > 1.0 ||
      options.exposure_slack < 0.0 || options.rollback <= Duration{} ||
      options.min_report_interval <= Duration{}) {
    return utils::Fail(utils::ErrorCode::kSettingsOutOfRange,
                       "a rollout needs a node id, an exposure share above 0 and at most 1, an "
                       "exposure slack that is not negative, and positive times");
  }
  return Rollout(std::make_unique<Impl>(options));
}

Rollout::Rollout(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
Rollout::Rollout(Rollout&&) noexcept = default;
Rollout& Rollout::operator=(Rollout&&) noexcept = default;
Rollout::~Rollout() = default;

std::vector<Effect> Rollout::Reduce(const Event& event, Timestamp now,
                                    const membership::MemberView& members) {
  Impl& reducer = *this->impl;
  const bool is_run =
      std::holds_alternative<RunStarted>(event) || std::holds_alternative<RunEnded>(event);
  if (!is_run) {
    reducer.TrackDelays(now);
  }
  reducer.now = now;
  reducer.members = &members;
  std::visit([&reducer](const auto& value) { reducer.Handle(value); }, event);
  if (is_run) {
    // Runs change nothing but the allowance left and, by their end, when to report.
    if (reducer.participant.IsActive()) {
      reducer.UpdateAdmission();
    }
    return std::exchange(reducer.effects, {});
  }
  reducer.participant.UpdateHold(reducer.orders_known, now, members);
  if (reducer.participant.IsActive()) {
    reducer.PollReports();
    if (reducer.coordinator) {
      reducer.coordinator->Poll(now, members, reducer.effects);
    }
    reducer.DeliverOwnMessages();
    reducer.PollStatus();
  }
  reducer.UpdateAdmission();
  return std::exchange(reducer.effects, {});
}

std::optional<Timestamp> Rollout::NextWake() const { return this->impl->NextWake(); }

std::optional<Timestamp> Rollout::Impl::NextWake() const {
  std::optional<Timestamp> next = this->participant.NextWake(this->admission);
  const auto keep_earliest = [&next](const std::optional<Timestamp>& candidate) {
    if (candidate && (!next || *candidate < *next)) {
      next = candidate;
    }
  };
  if (!this->participant.IsActive()) {
    return next;
  }
  keep_earliest(this->ReportDue());
  keep_earliest(this->link.NextWake());
  if (this->coordinator) {
    keep_earliest(this->coordinator->NextWake());
  }
  if (!this->status.IsIdle() || this->StatusPurpose() != Purpose::kNone) {
    // What has become due with the last event is due at once.
    keep_earliest(std::max(this->status.NextWake(), this->now));
  }
  return next;
}

AdmissionChanged Rollout::Admission() const { return this->impl->admission; }

AdmissionChanged Rollout::Admission(Timestamp now) const {
  return this->impl->participant.Admission(now);
}

std::optional<std::uint64_t> Rollout::RunLimit() const {
  return this->impl->participant.RunLimit();
}

const Counters& Rollout::GetCounters() const { return this->impl->counters; }

Gauges Rollout::GetGauges() const {
  const Impl& reducer = *this->impl;
  return {reducer.participant.IsActive(),     reducer.coordinator.has_value(),
          reducer.participant.CurrentPhase(), reducer.participant.Term(),
          reducer.participant.Started(),      reducer.participant.Allowance()};
}

}  // namespace amaranthlatch::rollout
