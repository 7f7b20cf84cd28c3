// Shared reads: the exchange of updates with other nodes of the zone.

#include <algorithm>
#include <utility>

#include "configuration_change.h"
#include "directory_impl.h"

namespace amaranthlatch::directory {

using details::OutgoingMessage;
using details::ReadMode;
using membership::Member;
using membership::NodeId;
using utils::Timestamp;

namespace {
// More updates of a reader without a confirmation show that its build does not send any.
constexpr std::uint32_t kMaxUnconfirmedUpdates = 8;
}  // namespace

void Directory::Impl::Handle(const PeerMessageReceived& event) {
  if (!this->options.share_reads) {
    return;
  }
  std::visit([this, &event](const auto& message) { this->HandleMessage(event.from, message); },
             event.message);
}

void Directory::Impl::Handle(const PeerUnreachable& event) {
  std::vector<OutgoingMessage> messages;
  this->selection.OnPeerUnreachable(event.id, this->MakeSituation(), messages);
  this->SendAll(std::move(messages));
}

void Directory::Impl::HandleMessage(const NodeId& from, const UpdateRequest& request) {
  if (request.insist) {
    this->selection.OnInsistentRequest();
  }
  if (this->selection.Mode() == ReadMode::kSubscribed) {
    if (!this->selection.Reader().empty()) {
      this->effects.emplace_back(SendToPeer{from, ReaderNotice{this->selection.Reader()}});
    }
    return;
  }
  this->subscribers.OnRequest(from, request, this->now);
  this->TellOwnerIfDue(from);
  // A node that has just started answers after its first listing.
  if (this->CanAnswer()) {
    this->SendUpdate(from);
  }
}

void Directory::Impl::HandleMessage(const NodeId& from, const Update& update) {
  ++this->counters.updates_received;
  this->ApplyConfigurationChange(from, update);
  if (update.members_until.boot_id != 0) {
    this->ApplyOrders(update.orders);
  }
  for (const Member& member : update.members) {
    if (member.id == this->options.id) {
      this->ApplyOwnRecord(member);
    } else {
      this->ApplyMember(member);
      const Member& known = *this->members.Find(member.id);
      if (member.id == from && known.boot_id != member.boot_id) {
        // The sender does not know of its predecessor's last record, which takes precedence.
        this->effects.emplace_back(SendToPeer{from, Update{true, 0, {}, 0, {}, {known}, {}}});
      }
    }
  }
  if (from == this->selection.Reader() && update.healthy &&
      ++this->updates_without_confirmation > kMaxUnconfirmedUpdates) {
    this->confirmed_at.reset();
  }
  const bool is_complete =
      update.members_until.boot_id != 0 &&
      (update.members_since == 0 || (update.members_until.boot_id == this->members_until.boot_id &&
                                     update.members_since <= this->members_until.sequence));
  // An update for an earlier process of this node, or one that overtook another, lacks members.
  if (!is_complete) {
    return;
  }
  this->selection.OnUpdate(from, update.healthy, this->MakeSituation());
  if (this->selection.Mode() == ReadMode::kSubscribed && this->selection.Reader() == from) {
    this->members_until = update.members_until;
  }
  const bool has_own_record =
      std::any_of(update.members.begin(), update.members.end(),
                  [this](const Member& member) { return member.id == this->options.id; });
  if (update.members_since == 0 && update.healthy && !has_own_record) {
    this->HandleOwnRecordMissing();
  }
}

void Directory::Impl::HandleMessage(const NodeId& from, const ReaderNotice& notice) {
  std::vector<OutgoingMessage> messages;
  this->selection.OnNotice(from, notice, this->MakeSituation(), messages);
  this->SendAll(std::move(messages));
}

void Directory::Impl::HandleMessage(const NodeId& /*from*/, const VersionNotice& notice) {
  ++this->counters.notices_received;
  this->Handle(NewerVersionObserved{notice.version, notice.node});
  const NodeId& reader = this->selection.Reader();
  if (this->selection.Mode() == ReadMode::kSubscribed && !reader.empty() && this->newer_version) {
    this->effects.emplace_back(SendToPeer{reader, notice});
  }
}

void Directory::Impl::HandleMessage(const NodeId& from, const ConfigurationRequest& request) {
  if (this->configuration != nullptr && request.version < this->configuration->GetVersion()) {
    this->effects.emplace_back(
        SendToPeer{from, this->subscribers.MakeConfigurationUpdate(request.version)});
  }
}

void Directory::Impl::RequestNewerConfiguration() {
  const NodeId& node = this->newer_version->node;
  if (!this->options.share_reads || node.empty() || node == this->options.id) {
    return;
  }
  ++this->counters.configuration_requests;
  this->effects.emplace_back(
      SendToPeer{node, ConfigurationRequest{this->configuration->GetVersion()}});
}

void Directory::Impl::NotifyOtherZones() {
  this->SendToOtherZones(VersionNotice{this->configuration->GetVersion(), this->options.id});
}

void Directory::Impl::SendToOtherZones(const Message& message) {
  if (!this->options.share_reads) {
    return;
  }
  for (const std::string& zone : this->members.Zones()) {
    if (zone == this->options.zone) {
      continue;
    }
    std::vector<NodeId> candidates;
    for (const Member& member : *this->members.ZoneMembers(zone)) {
      if (member.state == membership::MemberState::kReady) {
        candidates.push_back(member.id);
      }
    }
    if (!candidates.empty()) {
      this->counters.notices_sent += std::holds_alternative<VersionNotice>(message) ? 1 : 0;
      this->effects.emplace_back(
          SendToPeer{candidates[this->random.Uniform(candidates.size())], message});
    }
  }
}

void Directory::Impl::ApplyConfigurationChange(const NodeId& from, const Update& update) {
  if (update.configuration.empty()) {
    return;
  }
  const auto change = details::DecodeChange(update.configuration);
  const bool is_newer = change && (this->configuration == nullptr ||
                                   change->version > this->configuration->GetVersion());
  if (change && !is_newer) {
    ++this->counters.configurations_stale;
    return;
  }
  if (change) {
    if (auto next = details::Apply(this->configuration, *change, this->options.service_defaults)) {
      const bool is_first = this->configuration == nullptr;
      this->ApplyConfiguration(std::move(*next));
      if (is_first) {
        // The confirmation that follows may be lost.
        this->Confirm(this->now - this->options.confirmation_interval);
      }
      return;
    }
  }
  ++this->counters.updates_unusable;
  // An earlier update was lost, and the sender takes it for delivered.
  const bool lacks_base =
      change && this->configuration != nullptr && change->base != this->configuration->GetVersion();
  if (lacks_base) {
    this->effects.emplace_back(
        SendToPeer{from, ConfigurationRequest{this->configuration->GetVersion()}});
  }
}

details::ReaderSelection::Situation Directory::Impl::MakeSituation() const {
  details::ReaderSelection::Situation situation;
  situation.now = this->now;
  situation.view = &this->members;
  situation.has_subscribers = !this->subscribers.Empty();
  situation.has_insistent_subscribers = this->subscribers.HasInsistent(this->now);
  situation.reads_fail = this->reads_failing_since.has_value() || !this->IsCurrent();
  situation.request.version =
      this->configuration == nullptr ? 0 : this->configuration->GetVersion();
  situation.request.members = this->members_until;
  situation.request.orders_end = this->orders.End();
  return situation;
}

void Directory::Impl::SendAll(std::vector<OutgoingMessage> messages) {
  for (OutgoingMessage& message : messages) {
    this->effects.emplace_back(SendToPeer{std::move(message.to), std::move(message.message)});
  }
}

void Directory::Impl::PollSharedReads() {
  if (!this->options.share_reads) {
    return;
  }
  this->TrackFailingReads();
  this->selection.OnConfirmed(this->confirmed_at);
  this->subscribers.Expire(this->now);
  std::vector<OutgoingMessage> messages;
  this->selection.Poll(this->MakeSituation(), messages);
  this->SendAll(std::move(messages));
  this->ReportSource();
  if (this->IsReading() && this->was_subscribed) {
    for (details::StreamFollower& follower : this->followers) {
      follower.Resume(this->now);
    }
  }
  this->was_subscribed = this->selection.Mode() == ReadMode::kSubscribed;
  switch (this->selection.Mode()) {
    case ReadMode::kDiscovering:
      break;
    case ReadMode::kReading:
      this->PushUpdates();
      this->Announce();
      break;
    case ReadMode::kSubscribed:
      this->could_serve = false;
      this->outdated_records.clear();
      this->told.clear();
      if (!this->selection.Reader().empty()) {
        this->DismissSubscribers(this->selection.Reader());
      }
      break;
  }
}

void Directory::Impl::ReportSource() {
  if (this->selection.Mode() == ReadMode::kDiscovering ||
      this->reported_source == this->selection.Reader()) {
    return;
  }
  this->reported_source = this->selection.Reader();
  ++this->counters.source_changes;
  this->effects.emplace_back(ReadSourceChanged{this->selection.Reader()});
}

void Directory::Impl::TrackFailingReads() {
  const bool failing =
      this->IsReading() && std::any_of(this->followers.begin(), this->followers.end(),
                                       [](const auto& follower) { return follower.IsFailing(); });
  if (!failing) {
    this->reads_failing_since.reset();
  } else if (!this->reads_failing_since) {
    this->reads_failing_since = this->now;
  }
}

std::optional<Timestamp> Directory::Impl::FailingReadsDeadline() const {
  if (!this->reads_failing_since || this->ReadsFail()) {
    return std::nullopt;
  }
  return *this->reads_failing_since + this->options.failing_reads_tolerance;
}

bool Directory::Impl::ReadsFail() const {
  return this->reads_failing_since &&
         this->now - *this->reads_failing_since >= this->options.failing_reads_tolerance;
}

void Directory::Impl::PushUpdates() {
  if (!this->CanAnswer()) {
    return;
  }
  const PushedState state{this->configuration == nullptr ? 0 : this->configuration->GetVersion(),
                          this->subscribers.LastChange(), this->IsHealthy(), this->orders.End()};
  if (state == this->pushed) {
    return;
  }
  this->pushed = state;
  for (const NodeId& id : this->subscribers.Ids()) {
    this->SendUpdate(id);
  }
}

void Directory::Impl::SendUpdate(const NodeId& to) {
  ++this->counters.updates_sent;
  this->effects.emplace_back(SendToPeer{
      to, this->subscribers.MakeUpdate(to, this->IsHealthy(), this->members, this->orders)});
  this->SendConfirmation(to);
}

void Directory::Impl::Announce() {
  const bool can_serve = this->Announces() && this->IsHealthy();
  // Members whose reader fails wait for any node that reads with success.
  const bool has_started = can_serve && !this->could_serve;
  this->could_serve = can_serve;
  const bool due = this->now >= this->next_announcement;
  const bool changed = this->members.Generation() != this->announced_generation;
  if (!this->Announces() || (!due && !changed && !has_started)) {
    return;
  }
  this->announced_generation = this->members.Generation();
  this->next_announcement = this->now + this->options.announcement_interval;
  const bool is_preferred =
      !this->subscribers.Empty() || this->selection.IsBest(this->MakeSituation());
  if (!can_serve || (!has_started && !is_preferred)) {
    return;
  }
  for (const Member& member : *this->members.ZoneMembers(this->options.zone)) {
    if (member.id != this->options.id && !this->subscribers.Contains(member.id)) {
      this->effects.emplace_back(SendToPeer{member.id, ReaderNotice{this->options.id}});
    }
  }
}

void Directory::Impl::DismissSubscribers(const NodeId& reader) {
  for (const NodeId& id : this->subscribers.Ids()) {
    if (id != reader) {
      this->effects.emplace_back(SendToPeer{id, ReaderNotice{reader}});
    }
  }
  this->subscribers.Clear();
}

}  // namespace amaranthlatch::directory
