// Handling of register, backend server and shutdown events.

#include "amaranthlatch/directory/directory.h"

#include <algorithm>
#include <string>
#include <utility>

#include "directory_impl.h"

namespace amaranthlatch::directory {

namespace {
using details::EraVerdict;
using details::RegisterEra;
using membership::Member;
using membership::MemberState;
using utils::Timestamp;

RegisterEra::Request RequestOf(Stream stream) {
  return stream == Stream::kMembers ? RegisterEra::Request::kReadMembers
                                    : RegisterEra::Request::kReadConfiguration;
}
}  // namespace

void Directory::Impl::Handle(const StreamReadSucceeded& event) {
  details::StreamFollower& follower = this->GetFollower(event.stream);
  const bool is_listing = follower.IsListing();
  const EraVerdict verdict = this->ObserveEra(RequestOf(event.stream), event.era);
  // Records that were read from a position of the era before do not follow the ones known.
  if (verdict == EraVerdict::kOutdated || (verdict == EraVerdict::kRisen && !is_listing)) {
    follower.ListAgain(this->now);
    return;
  }
  ++this->counters.reads;
  if (follower.IsFailing()) {
    this->effects.emplace_back(RegisterReachabilityChanged{event.stream, true, {}});
    if (event.stream == Stream::kConfiguration) {
      // The answer to a read that waits for much longer may have been lost as well.
      this->GetFollower(Stream::kMembers).RestartRead(this->now);
    }
  }
  const Timestamp answered_at =
      std::min(follower.AnsweredAt(event.next, this->now), this->EventTime());
  follower.OnReadSucceeded(event.next, this->now);
  if (event.configuration != nullptr && this->ApplyConfiguration(event.configuration) &&
      this->IsReading()) {
    this->NotifyOtherZones();
  }
  if (event.stream == Stream::kConfiguration) {
    this->ApplyOrders(event.orders);
    this->HandleConfirmingRead(event, answered_at);
  }
  const Member* own_record = nullptr;
  for (const Member& member : event.members) {
    if (member.id == this->options.id) {
      own_record = &member;
    } else {
      this->ApplyMember(member);
      this->NoteStoredRecord(member);
    }
  }
  // Only the last record of this node counts: it replaced the earlier ones.
  if (own_record != nullptr) {
    this->ApplyOwnRecord(*own_record);
    this->subscribers.OnOwnRecordStored(*own_record);
  }
  if (event.stream == Stream::kMembers && is_listing) {
    this->FindMissingRecords(event.members);
  }
  this->TellOwners();
  if (event.stream == Stream::kMembers && this->options.share_reads) {
    std::vector<details::OutgoingMessage> messages;
    this->selection.OnListed(this->MakeSituation(), messages);
    this->SendAll(std::move(messages));
  }
}

void Directory::Impl::Handle(const StreamReadFailed& event) {
  details::StreamFollower& follower = this->GetFollower(event.stream);
  ++this->counters.reads_failed;
  if (this->ObserveEra(RequestOf(event.stream), event.era) != EraVerdict::kCurrent) {
    follower.ListAgain(this->now);
    return;
  }
  if (!follower.IsFailing()) {
    this->effects.emplace_back(RegisterReachabilityChanged{event.stream, false, event.error});
  }
  follower.OnReadFailed(event.truncated, this->random, this->now);
  if (event.stream == Stream::kConfiguration && this->checking) {
    this->checking = false;
    this->next_check = this->now + this->options.failed_check_pause;
  }
}

void Directory::Impl::Handle(const MemberWriteCompleted& event) {
  // What was acknowledged before the register was restored may be lost.
  const EraVerdict verdict = this->ObserveEra(RegisterEra::Request::kWrite, event.era);
  const bool written = event.written && verdict != EraVerdict::kOutdated;
  ++(written ? this->counters.writes : this->counters.writes_failed);
  if (written) {
    this->subscribers.OnOwnRecordStored(this->own_entry.Written());
  }
  this->own_entry.OnWriteCompleted(written, this->random, this->now);
}

void Directory::Impl::Handle(const BackendServerReady& event) {
  this->own_entry.SetBackendServer(event.service, event.labels, event.slots);
  this->backend_server_ready = true;
}

void Directory::Impl::Handle(const BackendServerUnavailable& event) {
  this->backend_server_ready = false;
  if (event.withdrawal) {
    this->own_entry.SetWithdrawal(*event.withdrawal);
  }
}

void Directory::Impl::Handle(const NewerVersionObserved& event) {
  if (this->configuration == nullptr || event.version <= this->configuration->GetVersion()) {
    return;
  }
  if (!this->newer_version) {
    this->newer_version = NewerVersion{event.version, event.node, this->now};
  } else if (event.version > this->newer_version->version) {
    this->newer_version->version = event.version;
    this->newer_version->node = event.node;
  }
}

void Directory::Impl::Handle(const DrainStarted& /*event*/) {
  this->draining = true;
  const membership::NodeId successor = this->IsReading() && !this->subscribers.Empty()
                                           ? this->selection.Successor(this->MakeSituation())
                                           : membership::NodeId();
  if (!successor.empty()) {
    this->effects.emplace_back(SendToPeer{successor, ReaderNotice{successor}});
    for (const membership::NodeId& id : this->subscribers.Ids()) {
      if (id != successor) {
        this->effects.emplace_back(SendToPeer{id, ReaderNotice{successor}});
      }
    }
  }
}

bool Directory::Impl::ApplyConfiguration(MeshConfiguration::Pointer read) {
  const document::Version previous_version =
      this->configuration == nullptr ? 0 : this->configuration->GetVersion();
  if (this->configuration != nullptr && read->GetVersion() <= previous_version) {
    ++this->counters.configurations_stale;
    return false;
  }
  ++this->counters.configurations_activated;
  this->configuration = std::move(read);
  this->configuration_changed_at = this->now;
  this->saved_wait = {};
  this->subscribers.OnConfiguration(this->configuration);
  if (this->newer_version && this->newer_version->version <= this->configuration->GetVersion()) {
    this->newer_version.reset();
  }
  this->effects.emplace_back(ConfigurationActivated{
      this->configuration->GetVersion(), previous_version, this->configuration->RouteCount()});
  return true;
}

void Directory::Impl::ApplyOrders(const std::vector<RolloutOrder>& next) {
  bool changed = !this->orders_known;
  this->orders_known = true;
  for (const RolloutOrder& order : next) {
    changed = this->orders.Apply(order) || changed;
  }
  if (changed) {
    this->effects.emplace_back(RolloutOrdersChanged{this->orders.Since(0)});
  }
}

void Directory::Impl::ApplyOwnRecord(const Member& stored) {
  const bool is_lost = this->own_entry.IsReplacedBy(stored);
  if (is_lost) {
    // Nodes that find no record of this one send an empty one.
    ++this->counters.own_records_lost;
    this->effects.emplace_back(OwnRecordLost{stored.boot_id != 0});
  }
  if (const auto withdrawal = this->own_entry.OnRecordRead(stored)) {
    this->effects.emplace_back(EarlierWithdrawalFound{*withdrawal});
  }
  if (is_lost) {
    this->own_entry.SpreadWrite(this->random, this->now);
  }
}

void Directory::Impl::ApplyMember(const Member& member) {
  if (this->members.Merge(member, this->now) ==
      membership::details::MemberTable::MergeResult::kStored) {
    ++this->counters.members_changed;
    this->subscribers.OnMemberChanged(member.id);
    this->effects.emplace_back(MemberChanged{member});
    return;
  }
  ++this->counters.members_stale;
}

void Directory::Impl::UpdateOwnState() {
  MemberState state = MemberState::kJoining;
  if (this->draining || (!this->backend_server_ready && this->own_entry.Record().slots > 0)) {
    state = MemberState::kDraining;
  } else if (this->backend_server_ready && this->configuration != nullptr) {
    state = MemberState::kReady;
  }
  this->own_entry.SetState(state);
  this->members.Merge(this->own_entry.Record(), this->now);
}

void Directory::Impl::ReportStoredWithdrawal() {
  const std::optional<Withdrawal>& stored = this->own_entry.StoredWithdrawal();
  if (stored != this->reported_withdrawal) {
    this->reported_withdrawal = stored;
    this->effects.emplace_back(StoredWithdrawalChanged{stored});
  }
}

std::optional<Timestamp> Directory::Impl::StalledReadTimeout() const {
  if (!this->newer_version) {
    return std::nullopt;
  }
  if (this->selection.Mode() == details::ReadMode::kSubscribed) {
    return std::max(this->newer_version->waiting_since, this->configuration_changed_at) +
           this->options.stale_reader_timeout;
  }
  const std::optional<Timestamp> read_start =
      this->GetFollower(Stream::kConfiguration).WaitingSince();
  if (!read_start) {
    return std::nullopt;
  }
  return std::max(this->newer_version->waiting_since, *read_start) +
         this->options.stale_configuration_timeout;
}

void Directory::Impl::HandleStalledRead() {
  const std::optional<Timestamp> timeout = this->StalledReadTimeout();
  if (!timeout || this->now < *timeout) {
    return;
  }
  const bool delayed = this->now - *timeout > this->options.max_wake_delay;
  this->newer_version->waiting_since = this->now;
  if (delayed) {
    return;
  }
  this->effects.emplace_back(ConfigurationOutdated{
      this->configuration->GetVersion(), this->newer_version->version, this->newer_version->node});
  this->RequestNewerConfiguration();
  if (this->selection.Mode() != details::ReadMode::kSubscribed) {
    this->AbandonConfigurationRead("version " + std::to_string(this->newer_version->version) +
                                   " is already in force on another node");
    return;
  }
  std::vector<details::OutgoingMessage> messages;
  this->selection.OnReaderStale(this->MakeSituation(), messages);
  this->SendAll(std::move(messages));
}

void Directory::Impl::HandleOverdueRead() {
  details::StreamFollower& follower = this->GetFollower(Stream::kConfiguration);
  const std::optional<Timestamp> deadline = follower.ResponseDeadline();
  if (!this->IsReading() || !deadline || this->now < *deadline) {
    return;
  }
  if (this->now - *deadline > this->options.max_wake_delay) {
    // The node itself was delayed; the response may have been received meanwhile.
    follower.ExtendRead(this->now, this->options.read_response_tolerance);
    return;
  }
  ++this->counters.reads_overdue;
  this->AbandonConfigurationRead("its response is overdue");
  // Known to the subscribers at once: the time of the tolerance has passed already.
  this->reads_failing_since = this->now - this->options.failing_reads_tolerance;
}

void Directory::Impl::AbandonConfigurationRead(const std::string& reason) {
  if (!this->GetFollower(Stream::kConfiguration).AbandonRead(this->now)) {
    return;
  }
  ++this->counters.reads_abandoned;
  // Its response may have been lost together with the abandoned one.
  this->GetFollower(Stream::kMembers).RestartRead(this->now);
  this->effects.emplace_back(RegisterReachabilityChanged{
      Stream::kConfiguration,
      false,
      {utils::ErrorCode::kLogUnavailable, "read abandoned without an answer: " + reason, {}}});
}

utils::Duration Directory::Impl::ReadWait(Stream stream) const {
  return stream == Stream::kMembers ? this->options.members_read_wait
                                    : this->ConfigurationReadWait();
}

bool Directory::Impl::Reads(Stream stream) const {
  // A node that starts again lists the members once, to find a reader and to know the records of
  // its predecessor, which a reader may not have yet.
  return this->IsReading() || (stream == Stream::kMembers && !this->IsPredecessorKnown()) ||
         (stream == Stream::kConfiguration && this->checking);
}

bool Directory::Impl::IsCurrent() const {
  return this->GetFollower(Stream::kConfiguration).IsCurrent() &&
         this->GetFollower(Stream::kMembers).IsCurrent();
}

bool Directory::Impl::IsPredecessorKnown() const {
  return this->options.mesh_is_new || this->GetFollower(Stream::kMembers).IsListed();
}

void Directory::Impl::Poll() {
  for (const Stream stream : {Stream::kConfiguration, Stream::kMembers}) {
    if (!this->Reads(stream)) {
      continue;
    }
    if (std::optional<ReadStream> read =
            this->GetFollower(stream).Poll(this->now, this->ReadWait(stream))) {
      this->counters.listings += read->from ? 0 : 1;
      if (stream == Stream::kConfiguration && read->from) {
        this->saved_wait =
            std::max(utils::Duration{}, this->saved_wait + this->PlainReadWait() - read->wait);
      }
      this->effects.emplace_back(*read);
    }
  }
  // The incarnation must exceed that of an earlier process of this node.
  if (!this->IsPredecessorKnown()) {
    return;
  }
  if (std::optional<Member> member = this->own_entry.Poll(this->now)) {
    this->effects.emplace_back(WriteMember{std::move(*member)});
  }
}

utils::Result<Directory> Directory::Create(const Options& options) {
  if (options.id.empty() || options.zone.empty() || options.initial_retry_delay.count() <= 0 ||
      options.max_retry_delay < options.initial_retry_delay) {
    return utils::Fail(
        utils::ErrorCode::kSettingsOutOfRange,
        "the directory needs a node id, a zone, an initial retry delay above 0 and a maximum "
        "retry delay that is not below the initial one");
  }
  return Directory(std::make_unique<Impl>(options));
}

Directory::Directory(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
Directory::Directory(Directory&&) noexcept = default;
Directory& Directory::operator=(Directory&&) noexcept = default;
Directory::~Directory() = default;

std::vector<Effect> Directory::Reduce(const Event& event, Timestamp now) {
  Impl& reducer = *this->impl;
  reducer.started = true;
  reducer.now = now;
  reducer.TrackDelays();
  std::visit([&reducer](const auto& value) { reducer.Handle(value); }, event);
  reducer.UpdateOwnState();
  reducer.ReportStoredWithdrawal();
  reducer.HandleUnconfirmed();
  reducer.HandleStalledRead();
  reducer.HandleOverdueRead();
  reducer.PollSharedReads();
  reducer.Poll();
  return std::exchange(reducer.effects, {});
}

std::optional<Timestamp> Directory::NextWake() const {
  const Impl& reducer = *this->impl;
  if (!reducer.started) {
    return Timestamp{};
  }
  std::optional<Timestamp> next;
  const auto keep_earliest = [&next](const std::optional<Timestamp>& candidate) {
    if (candidate && (!next || *candidate < *next)) {
      next = candidate;
    }
  };
  for (const Stream stream : {Stream::kConfiguration, Stream::kMembers}) {
    if (reducer.Reads(stream)) {
      keep_earliest(reducer.GetFollower(stream).NextWake());
    }
  }
  keep_earliest(reducer.StalledReadTimeout());
  keep_earliest(reducer.UnconfirmedDeadline());
  if (reducer.IsReading()) {
    keep_earliest(reducer.GetFollower(Stream::kConfiguration).ResponseDeadline());
  }
  if (reducer.IsPredecessorKnown()) {
    keep_earliest(reducer.own_entry.NextWake());
  }
  if (reducer.options.share_reads) {
    keep_earliest(reducer.next_delay_probe);
    keep_earliest(reducer.selection.NextWake(reducer.members));
    keep_earliest(reducer.subscribers.NextExpiry());
    keep_earliest(reducer.FailingReadsDeadline());
    if (reducer.Announces()) {
      keep_earliest(reducer.next_announcement);
    }
  }
  return next;
}

const membership::MemberView& Directory::Members() const { return this->impl->members; }

MeshConfiguration::Pointer Directory::Configuration() const { return this->impl->configuration; }

ConfigurationStatus Directory::GetConfigurationStatus() const {
  const Impl& reducer = *this->impl;
  const document::Version version =
      reducer.configuration == nullptr ? 0 : reducer.configuration->GetVersion();
  return {version, reducer.configuration_changed_at, reducer.confirmed_at};
}

const Counters& Directory::GetCounters() const { return this->impl->counters; }

Gauges Directory::GetGauges() const {
  return {this->impl->IsReading(), this->impl->subscribers.Ids().size()};
}

}  // namespace amaranthlatch::directory
