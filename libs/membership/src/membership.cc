// Composes the components of the membership reducer and dispatches events to them.

#include "amaranthlatch/membership/membership.h"

#include <algorithm>
#include <string>
#include <utility>

#include "context.h"
#include "dissemination.h"
#include "failure_detector.h"
#include "join.h"
#include "own_record.h"
#include "repair.h"

namespace amaranthlatch::membership {

namespace {

using details::Context;
using details::IsListed;
using details::MemberTable;

constexpr std::size_t kMaxExpiredPerStep = 64;
// Expected number of zone members that send the newer record to the owner of a stale one.
constexpr double kExpectedStaleReplies = 4.0;

// Origin of a received record.
struct RecordSource {
  NodeId from;
  // Remaining hops for which the record is forwarded in this node's zone.
  std::uint32_t hops = 0;
  // Whether to send the known record back if the received one is older.
  bool reply_if_stale = false;
};

utils::Result<void> ValidateOptions(const Options& options) {
  const auto reject = [](const char* name) {
    return utils::Fail(utils::ErrorCode::kSettingsOutOfRange,
                       "membership option is missing or out of range", std::string("/") + name);
  };
  if (options.id.empty() || options.region.empty() || options.zone.empty()) {
    return reject("identity");
  }
  const auto positive = {options.probe_interval,      options.probe_timeout,
                         options.indirect_timeout,    options.suspect_timeout,
                         options.join_retry_interval, options.rejoin_interval,
                         options.tombstone_lifetime,  options.pause_threshold};
  if (std::any_of(positive.begin(), positive.end(),
                  [](utils::Duration value) { return value <= utils::Duration::zero(); })) {
    return reject("intervals");
  }
  if (options.update_fanout == 0 || options.records_per_page == 0 ||
      options.records_per_page > 256 || options.max_incoming_transfers == 0 ||
      options.max_outgoing_transfers == 0) {
    return reject("limits");
  }
  return {};
}

}  // namespace

struct Membership::Impl {
  explicit Impl(const Options& options) : context(options, details::InitialRecord(options)) {}

  void Start();
  void DetectPause();
  void Advance();
  std::optional<utils::Timestamp> EarliestWake() const;

  void Handle(const WakeUp& /*event*/) {}
  void Handle(const PeerMessage& event);
  void Handle(const PeerUnreachable& event);
  void Handle(const BackendServerAnnounced& event) {
    this->Publish(this->own_record.SetBackendServer(this->Self(), event));
  }
  void Handle(const BackendServerLost& /*event*/) {
    this->Publish(this->own_record.ClearBackendServer(this->Self()));
  }
  void Handle(const ReadinessChanged& event) {
    this->Publish(this->own_record.SetReady(this->Self(), event.ready));
  }
  void Handle(const DrainStarted& /*event*/) {
    this->Publish(this->own_record.StartDrain(this->Self()));
  }
  void Handle(const DrainFinished& /*event*/) {
    this->Publish(this->own_record.FinishDrain(this->Self()));
  }

  void OnMessage(const NodeId& from, const Probe& message);
  void OnMessage(const NodeId& from, const ProbeAck& message);
  void OnMessage(const NodeId& from, const IndirectProbe& message);
  void OnMessage(const NodeId& from, const MemberUpdates& message);
  void OnMessage(const NodeId& from, const JoinRequest& message);
  void OnMessage(const NodeId& from, const JoinReply& message);
  void OnMessage(const NodeId& from, const ZoneRecordsRequest& message);
  void OnMessage(const NodeId& from, const ZoneRecords& message);

  const Member& Self() const { return this->context.table.Self(); }
  bool HasLeft() const { return this->Self().state == MemberState::kLeft; }
  // Stores and disseminates the next version of this node's record, if there is one.
  void Publish(const std::optional<Member>& next);
  // Merges a record received from a peer.
  void MergeReceived(const Member& member, const RecordSource& source);
  void OnRecordStored(const Member& member, bool added, std::uint32_t hops);
  void OnStaleRecord(const Member& member, const RecordSource& source);

  Context context;
  details::OwnRecord own_record;
  details::FailureDetector detector;
  details::Dissemination dissemination;
  details::Repair repair;
  details::Join join;
  std::optional<utils::Timestamp> last_probe_ack;
  bool starting = true;
};

void Membership::Impl::Start() {
  this->starting = false;
  this->detector.Start(this->context);
  this->join.Start(this->context);
}

void Membership::Impl::DetectPause() {
  const auto due = this->EarliestWake();
  if (due && this->context.now - *due > this->context.options.pause_threshold) {
    ++this->context.counters.pauses;
    this->detector.ResetAfterPause(this->context);
  }
}

void Membership::Impl::Advance() {
  if (this->HasLeft()) {
    this->dissemination.Advance(this->context);
    return;
  }
  const ZoneDigests digests = details::Repair::SummaryDigests(this->context);
  for (const Member& dead : this->detector.Advance(this->context, digests)) {
    if (this->context.table.Merge(dead, this->context.now) == MemberTable::MergeResult::kStored) {
      this->OnRecordStored(dead, false, details::Dissemination::HopsToCoverZone(this->context));
    }
  }
  if (this->detector.ProbeWasDue()) {
    this->repair.ProbeOtherZone(this->context, this->dissemination, this->detector);
  }
  this->join.Advance(this->context, this->detector);
  this->dissemination.Advance(this->context);
  this->repair.Advance(this->context, this->detector);
  this->context.counters.records_expired += this->context.table.ExpireTombstones(
      this->context.now, this->context.options.tombstone_lifetime, kMaxExpiredPerStep);
}

std::optional<utils::Timestamp> Membership::Impl::EarliestWake() const {
  auto earliest = this->dissemination.NextWake();
  if (this->HasLeft()) {
    return earliest;
  }
  const auto keep = [&earliest](const std::optional<utils::Timestamp>& wake) {
    if (wake) {
      details::UpdateEarliest(earliest, *wake);
    }
  };
  keep(this->detector.NextWake(this->context.options));
  keep(this->repair.NextWake());
  keep(this->join.NextWake());
  return earliest;
}

void Membership::Impl::Handle(const PeerMessage& event) {
  ++this->context.counters.messages_received;
  if (this->context.IsSelf(event.from) || this->HasLeft()) {
    return;
  }
  this->detector.OnMessageReceived(this->context, event.from);
  this->context.unreachable.erase(event.from);
  std::visit([&](const auto& message) { this->OnMessage(event.from, message); }, event.message);
}

void Membership::Impl::Handle(const PeerUnreachable& event) {
  const Member* member = this->context.table.Find(event.id);
  if (member == nullptr || this->HasLeft()) {
    return;
  }
  this->context.MarkUnreachable(event.id);
  const ZoneDigests digests = details::Repair::SummaryDigests(this->context);
  this->detector.OnUnreachable(this->context, event.id, digests);
}

void Membership::Impl::OnMessage(const NodeId& from, const Probe& message) {
  this->repair.OnProbe(this->context, this->dissemination, from, message);
  const Member* sender = this->context.table.Find(from);
  if (sender == nullptr || !IsListed(*sender)) {
    this->join.OnUnlistedSender(this->context, from);
  }
}

void Membership::Impl::OnMessage(const NodeId& from, const ProbeAck& message) {
  this->last_probe_ack = this->context.now;
  this->detector.OnAck(this->context, message);
  this->repair.OnAck(this->context, this->dissemination, from, message);
  const Member* sender = this->context.table.Find(from);
  if (sender == nullptr || !IsListed(*sender)) {
    this->join.OnUnlistedSender(this->context, from);
  }
}

void Membership::Impl::OnMessage(const NodeId& from, const IndirectProbe& message) {
  const ZoneDigests digests = details::Repair::SummaryDigests(this->context);
  this->detector.OnIndirectProbe(this->context, from, message, digests);
}

void Membership::Impl::OnMessage(const NodeId& from, const MemberUpdates& message) {
  const Member* sender = this->context.table.Find(from);
  RecordSource source{from, message.hops_left, message.hops_left == 0};
  if (sender == nullptr || sender->zone != this->context.options.zone) {
    source.hops = details::Dissemination::HopsToCoverZone(this->context);
  }
  for (const Member& member : message.members) {
    this->MergeReceived(member, source);
  }
}

void Membership::Impl::OnMessage(const NodeId& from, const JoinRequest& message) {
  if (message.member.id != from) {
    return;
  }
  const Member* known = this->context.table.Find(from);
  std::uint64_t known_incarnation = 0;
  if (known != nullptr && known->boot_id != message.member.boot_id) {
    known_incarnation = known->incarnation;
  }
  const std::uint32_t hops = details::Dissemination::HopsToCoverZone(this->context);
  this->MergeReceived(message.member, RecordSource{from, hops, false});
  this->context.Send(from, details::Join::BuildReply(this->context, this->dissemination,
                                                     message.member, known_incarnation));
}

void Membership::Impl::OnMessage(const NodeId& from, const JoinReply& message) {
  this->join.OnReply();
  if (message.known_incarnation > 0) {
    this->Publish(
        details::OwnRecord::RaiseIncarnationAbove(this->Self(), message.known_incarnation));
  }
  for (const Member& member : message.members) {
    this->MergeReceived(member, RecordSource{from, 0, false});
  }
  // The digests in the acknowledgement show which zones are still to be fetched.
  this->context.Send(
      from, Probe{this->detector.NextSequence(), details::Repair::SummaryDigests(this->context)});
  const MemberList peers = this->context.table.ZoneMembers(this->context.options.zone);
  const NodeId& peer = (*peers)[this->context.random.Uniform(peers->size())].id;
  this->repair.RequestZone(this->context, this->context.options.zone,
                           this->context.IsSelf(peer) ? from : peer);
}

void Membership::Impl::OnMessage(const NodeId& from, const ZoneRecordsRequest& message) {
  this->repair.OnZoneRecordsRequest(this->context, from, message);
}

void Membership::Impl::OnMessage(const NodeId& from, const ZoneRecords& message) {
  const Member* sender = this->context.table.Find(from);
  const bool same_zone = sender != nullptr && sender->zone == this->context.options.zone;
  const std::uint32_t hops = same_zone ? 0 : details::Dissemination::HopsToCoverZone(this->context);
  for (const Member& member : message.members) {
    this->MergeReceived(member, RecordSource{from, hops, true});
  }
  this->repair.OnZoneRecords(this->context, message);
}

void Membership::Impl::Publish(const std::optional<Member>& next) {
  if (next &&
      this->context.table.Merge(*next, this->context.now) == MemberTable::MergeResult::kStored) {
    this->OnRecordStored(*next, false, details::Dissemination::HopsToCoverZone(this->context));
  }
}

void Membership::Impl::MergeReceived(const Member& member, const RecordSource& source) {
  if (this->context.IsSelf(member.id)) {
    const auto refutation = details::OwnRecord::Refute(this->Self(), member);
    if (refutation) {
      ++this->context.counters.refutations;
      this->Publish(refutation);
      this->context.Send(source.from, MemberUpdates{{this->Self()}, 0});
    }
    return;
  }
  const Member* known = this->context.table.Find(member.id);
  const bool was_listed = known != nullptr && IsListed(*known);
  switch (this->context.table.Merge(member, this->context.now)) {
    case MemberTable::MergeResult::kStored:
      this->OnRecordStored(member, !was_listed, source.hops > 0 ? source.hops : 0);
      break;
    case MemberTable::MergeResult::kStale:
      this->OnStaleRecord(member, source);
      break;
    case MemberTable::MergeResult::kUnchanged:
      break;
  }
}

void Membership::Impl::OnRecordStored(const Member& member, bool added, std::uint32_t hops) {
  ++this->context.counters.records_changed;
  this->detector.OnMemberChanged(this->context, member, added);
  this->dissemination.Enqueue(this->context, member, hops);
  this->context.effects.emplace_back(MemberChanged{member});
}

void Membership::Impl::OnStaleRecord(const Member& member, const RecordSource& source) {
  ++this->context.counters.records_stale;
  const Member& known = *this->context.table.Find(member.id);
  if (source.reply_if_stale) {
    this->context.Send(source.from, MemberUpdates{{known}, 0});
    return;
  }
  // A restarted node whose clock is behind must learn the incarnation of its earlier process.
  const auto zone = static_cast<double>(this->context.table.ZoneSize(this->context.options.zone));
  if (known.boot_id != member.boot_id &&
      this->context.random.Bernoulli(kExpectedStaleReplies / zone)) {
    this->context.Send(member.id, MemberUpdates{{known}, 0});
  }
}

utils::Result<Membership> Membership::Create(const Options& options) {
  if (auto checked = ValidateOptions(options); !checked) {
    return tl::unexpected<utils::Error>(checked.error());
  }
  return Membership(std::make_unique<Impl>(options));
}

Membership::Membership(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
Membership::Membership(Membership&&) noexcept = default;
Membership& Membership::operator=(Membership&&) noexcept = default;
Membership::~Membership() = default;

std::vector<Effect> Membership::Reduce(const Event& event, utils::Timestamp now) {
  Context& context = this->impl->context;
  context.now = now;
  if (this->impl->starting) {
    this->impl->Start();
  }
  this->impl->DetectPause();
  std::visit([this](const auto& value) { this->impl->Handle(value); }, event);
  this->impl->Advance();
  return std::exchange(context.effects, {});
}

std::optional<utils::Timestamp> Membership::NextWake() const {
  if (this->impl->starting) {
    return std::nullopt;
  }
  return this->impl->EarliestWake();
}

const MemberView& Membership::View() const { return this->impl->context.table; }

std::map<MemberState, std::size_t> Membership::CountByState() const {
  return this->impl->context.table.CountByState();
}

const Counters& Membership::GetCounters() const { return this->impl->context.counters; }

bool Membership::IsHolding() const { return this->impl->detector.IsHolding(); }

bool Membership::IsIsolated() const { return this->impl->detector.IsIsolated(this->impl->context); }

std::optional<utils::Timestamp> Membership::LastProbeAckTime() const {
  return this->impl->last_probe_ack;
}

}  // namespace amaranthlatch::membership
