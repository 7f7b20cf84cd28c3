// Composition of the entry and holder sides.

#include "amaranthlatch/quota/quota.h"

#include <utility>

#include "client.h"
#include "holder.h"
#include "holder_selection.h"
#include "limit_table.h"
#include "member_count.h"
#include "zone_groups.h"

namespace amaranthlatch::quota {

using membership::NodeId;
using utils::Timestamp;

struct Quota::Impl {
  explicit Impl(const Options& from)
      : options(from),
        random(from.seed),
        limits(options),
        member_count(from.member_count_memory),
        groups(options),
        selection(options, random),
        client(options, limits, random, counters, effects),
        holder(options, limits, random, counters, effects) {}

  void Handle(const WakeUp& /*event*/) {}
  void Handle(const LimitsChanged& event);
  void Handle(const MembersListed& event) {
    this->selection.OnMembersListed(event.was_listed, this->now);
  }
  void Handle(const CallArrived& event) {
    this->client.OnCallArrived(event.call, event.workspace, this->now);
  }
  void Handle(const CallGone& event) { this->client.OnCallGone(event.call); }
  void Handle(const CallNotRun& event) {
    this->client.OnCallNotRun(event.workspace, event.admitted_at, this->now);
  }
  void Handle(const PeerMessage& event) {
    std::visit([this, &event](const auto& m) { this->HandleMessage(event.from, m); },
               event.message);
  }
  void Handle(const PeerUnreachable& event);

  void HandleMessage(const NodeId& from, const CreditRequest& request);
  void HandleMessage(const NodeId& from, const CreditGrant& grant);
  void HandleMessage(const NodeId& from, const TransferRequest& request);
  void HandleMessage(const NodeId& from, const Transfer& transfer);

  void TrackMembers(const membership::MemberView& members);
  void Poll();
  // Sends the request that is due to the holder.
  void RequestCredit();
  // Delivers the messages that this node sends to itself.
  void DeliverOwnMessages();

  const Options options;
  utils::Random random;
  Counters counters;
  std::vector<Effect> effects;
  details::LimitTable limits;
  details::MemberCount member_count;
  std::uint64_t listed_members = 1;
  details::ZoneGroups groups;
  details::HolderSelection selection;
  details::Client client;
  details::Holder holder;
  bool started = false;
  Timestamp now{};
};

namespace {

// Calls arrive far more often than anything else, and need neither members nor shares.
bool IsCallEvent(const Event& event) {
  return std::holds_alternative<CallArrived>(event) || std::holds_alternative<CallGone>(event) ||
         std::holds_alternative<CallNotRun>(event);
}

}  // namespace

void Quota::Impl::Handle(const LimitsChanged& event) {
  const std::vector<std::string> changed = this->limits.Update(event.limits, this->now);
  this->client.OnLimitsChanged(changed, this->now);
  this->holder.OnLimitsChanged(changed, this->now);
}

void Quota::Impl::Handle(const PeerUnreachable& event) {
  this->selection.OnPeerUnreachable(event.id, this->now);
  this->holder.OnPeerUnreachable(event.id, this->now);
}

void Quota::Impl::HandleMessage(const NodeId& from, const CreditRequest& request) {
  this->member_count.Observe(request.member_count, this->now);
  this->holder.Advance(this->now, this->member_count.Greatest());
  this->holder.OnRequest(from, request, this->now);
}

void Quota::Impl::HandleMessage(const NodeId& from, const CreditGrant& grant) {
  if (grant.request.boot_id != this->options.boot_id) {
    ++this->counters.grants_rejected;
    return;
  }
  this->member_count.Observe(grant.member_count, this->now);
  if (this->selection.OnGrant(from, grant.sent, this->now)) {
    this->client.RequestBy(this->now + this->options.request_delay);
  }
  this->client.OnGrant(from, grant, this->now);
}

void Quota::Impl::HandleMessage(const NodeId& from, const TransferRequest& request) {
  this->member_count.Observe(request.member_count, this->now);
  this->holder.Advance(this->now, this->member_count.Greatest());
  this->holder.OnTransferRequest(from, request, this->selection.Holder(), this->now);
}

void Quota::Impl::HandleMessage(const NodeId& from, const Transfer& transfer) {
  this->member_count.Observe(transfer.member_count, this->now);
  this->holder.Advance(this->now, this->member_count.Greatest());
  this->holder.OnTransfer(from, transfer, this->now);
}

void Quota::Impl::TrackMembers(const membership::MemberView& members) {
  this->listed_members = members.Size();
  this->member_count.Observe(this->listed_members, this->now);
  this->holder.Advance(this->now, this->member_count.Greatest());
  this->client.SetShare(1.0 / static_cast<double>(this->member_count.Greatest()));
  const details::ZoneGroups::Changes changes = this->groups.Update(members);
  if (changes.own) {
    this->selection.SetCandidates(this->groups.Own(), this->now);
  }
  if (changes.others) {
    this->holder.SetGroups(this->groups.Others());
  }
}

void Quota::Impl::Poll() {
  this->client.Poll(this->now);
  if (!this->limits.HasLimits()) {
    return;
  }
  for (const NodeId& id : this->selection.Poll(this->now)) {
    this->effects.emplace_back(
        SendMessage{id, this->client.MakeProbe(id, this->listed_members, this->now)});
  }
  this->client.SetLocalHolder(this->selection.HoldsItself());
  if (!this->selection.Holder().empty() && this->now >= this->client.NextRequest()) {
    this->RequestCredit();
  }
  this->DeliverOwnMessages();
  const std::optional<Timestamp> due = this->holder.NextWake();
  if (due && *due <= this->now) {
    this->holder.Advance(this->now, this->member_count.Greatest());
    this->holder.Poll(this->now);
    this->DeliverOwnMessages();
  }
}

void Quota::Impl::RequestCredit() {
  const NodeId& to = this->selection.Holder();
  CreditRequest request = this->client.MakeRequest(to, this->listed_members, this->now);
  request.delegation = this->selection.OnRequest(this->now);
  this->effects.emplace_back(SendMessage{to, std::move(request)});
}

void Quota::Impl::DeliverOwnMessages() {
  for (std::size_t i = 0; i < this->effects.size();) {
    auto* const sent = std::get_if<SendMessage>(&this->effects[i]);
    if (sent == nullptr || sent->to != this->options.id) {
      ++i;
      continue;
    }
    const Message message = std::move(sent->message);
    this->effects.erase(this->effects.begin() + static_cast<std::ptrdiff_t>(i));
    std::visit([this](const auto& m) { this->HandleMessage(this->options.id, m); }, message);
  }
}

utils::Result<Quota> Quota::Create(const Options& options) {
  if (options.id.empty() || options.zone.empty() || options.boot_id == 0 ||
      options.window <= options.credit_lifetime || options.overshoot < 0.0 || options.slack < 0.0 ||
      options.request_interval.count() <= 0 ||
      options.request_interval >= options.credit_lifetime || options.max_group_size == 0) {
    return utils::Fail(utils::ErrorCode::kSettingsOutOfRange,
                       "quotas need a node id, a zone, a boot id, a window above the lifetime of "
                       "credit, an overshoot and slack that are not negative, a request interval "
                       "below the lifetime of credit, and groups of at least one node");
  }
  return Quota(std::make_unique<Impl>(options));
}

Quota::Quota(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
Quota::Quota(Quota&&) noexcept = default;
Quota& Quota::operator=(Quota&&) noexcept = default;
Quota::~Quota() = default;

std::vector<Effect> Quota::Reduce(const Event& event, Timestamp now,
                                  const membership::MemberView& members) {
  Impl& reducer = *this->impl;
  reducer.now = now;
  if (!reducer.started) {
    reducer.started = true;
    reducer.selection.OnStarted(now);
  }
  if (!IsCallEvent(event)) {
    reducer.TrackMembers(members);
  }
  std::visit([&reducer](const auto& value) { reducer.Handle(value); }, event);
  reducer.Poll();
  return std::exchange(reducer.effects, {});
}

std::optional<Timestamp> Quota::NextWake() const {
  const Impl& reducer = *this->impl;
  std::optional<Timestamp> next = reducer.client.NextWake();
  const auto keep_earliest = [&next](const std::optional<Timestamp>& candidate) {
    if (candidate && (!next || *candidate < *next)) {
      next = candidate;
    }
  };
  if (reducer.limits.HasLimits()) {
    keep_earliest(reducer.selection.NextWake());
    keep_earliest(reducer.holder.NextWake());
    if (!reducer.selection.Holder().empty()) {
      keep_earliest(reducer.client.NextRequest());
    }
  }
  return next;
}

const Counters& Quota::GetCounters() const { return this->impl->counters; }

Gauges Quota::GetGauges() const {
  const Impl& reducer = *this->impl;
  return {reducer.client.ActiveWorkspaces(), reducer.holder.AccountCount(),
          reducer.client.WaitingCalls(), reducer.holder.DelegationCount(),
          reducer.selection.Holder()};
}

}  // namespace amaranthlatch::quota
