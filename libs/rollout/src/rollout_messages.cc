// Messages between participants, candidates and the coordinator.

#include <utility>

#include "rollout_impl.h"
#include "timing.h"

namespace amaranthlatch::rollout {

namespace {

using membership::NodeId;
using utils::Duration;

// Spreads the first reports to a coordinator that replaces another one.
constexpr Duration kMaxSwitchDelay = utils::Milliseconds(200);

}  // namespace

void Rollout::Impl::Handle(const PeerMessage& event) {
  std::visit([this, &event](const auto& value) { this->HandleMessage(event.from, value); },
             event.message);
}

bool Rollout::Impl::IsForOwnOrder(const std::string& service, std::uint64_t order) const {
  const std::optional<Order>& current = this->participant.CurrentOrder();
  return current && current->service == service && current->position == order;
}

void Rollout::Impl::SendRedirect(const NodeId& to, const NodeId& coordinator) {
  const Order& order = *this->participant.CurrentOrder();
  ++this->counters.redirects_sent;
  this->Send(to, Redirect{order.service, order.position, coordinator, this->participant.Term(),
                          this->participant.IsStopped()});
}

void Rollout::Impl::HandleMessage(const NodeId& from, const Report& report) {
  ++this->counters.reports_received;
  if (!this->IsForOwnOrder(report.service, report.order)) {
    // One of the two nodes does not know the newest order yet.
    ++this->counters.messages_ignored;
    this->Send(from, Redirect{report.service, report.order, {}, 0, false});
    return;
  }
  if (this->participant.Verdict()) {
    this->Send(from, this->participant.MakeVerdict(report, this->now));
    return;
  }
  if (this->coordinator) {
    this->coordinator->OnReport(from, report, this->now, *this->members, this->effects);
    if (this->coordinator->IsSuperseded()) {
      this->LoseClaim();
    }
    return;
  }
  const Duration age = details::SilenceTime(this->options) + this->CurrentReportInterval();
  const NodeId& target = this->link.Target();
  if (target != from && target != this->options.id && this->link.IsAlive(this->now, age)) {
    this->SendRedirect(from, target);
    return;
  }
  // The coordinator of an earlier term may have been replaced already.
  this->RequestClaim(report.coordinator_lost && report.term >= this->participant.Term());
  if (this->status.IsFailing()) {
    this->SendRedirect(from, {});
    return;
  }
  this->waiting[from] = report;
  this->SendRedirect(from, this->options.id);
}

void Rollout::Impl::HandleMessage(const NodeId& from, const Directive& directive) {
  if (!this->IsForOwnOrder(directive.service, directive.order)) {
    ++this->counters.messages_ignored;
    return;
  }
  if (this->participant.Verdict()) {
    return;
  }
  const bool is_accepted = this->participant.OnDirective(directive, this->now);
  if (this->participant.Verdict()) {
    this->AnnounceVerdict(false);
    return;
  }
  if (is_accepted) {
    ++this->counters.directives_received;
    this->link.OnDirective(from, this->now);
    if (this->coordinator && directive.term > this->coordinator->Term()) {
      this->LoseClaim();
    }
    return;
  }
  ++this->counters.directives_stale;
  if (directive.term < this->participant.Term() && from != this->options.id) {
    // The sender does not know that another node coordinates.
    this->SendRedirect(from, this->link.IsEstablished() ? this->link.Target() : NodeId());
  }
}

void Rollout::Impl::HandleMessage(const NodeId& from, const Redirect& redirect) {
  ++this->counters.redirects_received;
  if (!this->IsForOwnOrder(redirect.service, redirect.order) || !this->participant.IsActive()) {
    ++this->counters.messages_ignored;
    return;
  }
  const bool has_higher_term = redirect.term > this->participant.Term();
  this->participant.OnRedirect(redirect);
  if (this->coordinator) {
    if (redirect.term <= this->coordinator->Term()) {
      return;
    }
    this->LoseClaim();
  }
  if (redirect.coordinator == this->options.id) {
    // The sender takes this node for the coordinator, which it is no longer.
    if (from == this->link.Target()) {
      this->link.Avoid(from, details::RefusalAvoidance(this->options), this->now);
      this->RequestClaim(false);
    }
    return;
  }
  // A coordinator may announce itself to a node that it could not reach for some time.
  const bool is_alone = !this->link.IsAlive(this->now, details::SilenceTime(this->options));
  const bool is_known_term = redirect.term > 0 && redirect.term == this->participant.Term();
  const bool announces =
      redirect.coordinator == from && (has_higher_term || (is_alone && is_known_term));
  if (this->link.OnRedirect(from, redirect.coordinator, announces, this->now)) {
    this->next_report = this->now + this->random.Jitter(announces ? kMaxSwitchDelay : Duration{});
  }
}

}  // namespace amaranthlatch::rollout
