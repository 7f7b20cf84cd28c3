// Dispatches events and timers to the components of the distribution reducer.

#include "amaranthlatch/distribution/distribution.h"

#include <algorithm>
#include <utility>

#include "amaranthlatch/distribution/spread_strategy.h"
#include "anti_entropy.h"
#include "catch_up.h"
#include "entry_exchange.h"
#include "log_follower.h"
#include "peer_links.h"
#include "reader_role.h"
#include "readiness.h"
#include "replica.h"
#include "snapshot_stream.h"
#include "snapshot_transfer.h"
#include "topology.h"

namespace amaranthlatch::distribution {

using details::Context;

namespace {

constexpr int kMaxTimerRounds = 3;
// Limits the wake-up rate if a timer stays due.
constexpr utils::Duration kMinWakeDelay = utils::Milliseconds(1);

}  // namespace

// The components hold references to each other, so this struct must not be moved.
struct Distribution::Impl {
  explicit Impl(Options settings)
      : options(std::move(settings)), strategy(MakeSpreadStrategy(this->options)) {}
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl() = default;

  void Handle(const Context& context, const Event& event);
  void HandleMessage(const Context& context, const PeerMessage& event);
  void HandleMemberMessage(const Context& context, const PeerMessage& event);
  void HandlePush(const Context& context, const membership::NodeId& from, const EntriesPush& push);
  void HandleHeartbeat(const Context& context, const membership::NodeId& from,
                       const ReaderHeartbeat& heartbeat);
  void HandleChunk(const Context& context, const membership::NodeId& from,
                   const SnapshotChunk& chunk);
  void DetectPause(const Context& context);
  void PushToTargets(const Context& context, EntrySource source, Offset before);
  EntrySource ClassifySource(const Context& context, const membership::NodeId& from);
  void PutInForce(const Context& context);
  bool IsSnapshotWriter();
  void RunTimers(const Context& context);
  void ReportReadiness(const Context& context);
  std::optional<utils::Timestamp> ComputeNextWake() const;

  const Options options;
  Counters counters;
  utils::Random random{this->options.seed};
  std::unique_ptr<SpreadStrategy> strategy;
  details::RequestIdGenerator request_ids;
  details::Topology topology;
  details::PeerLinks links;
  details::Replica replica{this->options, this->counters};
  details::SnapshotSender snapshot_sender{this->options, this->replica, this->counters};
  details::SnapshotReceiver snapshot_receiver{this->options, this->replica, this->counters,
                                              this->random};
  details::EntryExchange exchange{this->options,  this->replica,         this->links,
                                  this->topology, this->snapshot_sender, this->counters};
  details::AntiEntropy anti_entropy{this->options, this->topology, this->links, this->exchange,
                                    this->random};
  details::ReaderRole role{this->options, this->topology, this->counters};
  details::LogFollower log{this->options, this->replica, this->request_ids, this->counters,
                           this->random};
  details::Readiness readiness{this->options, this->topology, this->replica,
                               this->log,     this->exchange, this->random};
  details::CatchUp catch_up{this->options,      this->topology, this->replica,
                            this->readiness,    this->log,      this->snapshot_receiver,
                            this->anti_entropy, this->exchange, this->random};
  details::SnapshotStream snapshot_stream{this->options,     this->replica,  this->log,
                                          this->request_ids, this->counters, this->random};
  bool reported_ready = false;
  std::optional<std::uint64_t> links_generation;
  // Unset before the first event.
  std::optional<utils::Timestamp> next_wake;
  bool started = false;
};

void Distribution::Impl::DetectPause(const Context& context) {
  const bool late =
      this->next_wake && context.now - *this->next_wake > this->options.pause_threshold;
  if (!late) {
    return;
  }
  ++this->counters.pauses;
  // During the pause, peers may have restarted with empty state and another reader may have taken
  // over.
  this->links.ResetAllHeldOffsets();
  this->exchange.ResetReportedWitnessedOffset();
  this->role.OnPause(context.now);
  this->log.RequestProbe();
  this->readiness.OnPause(context);
}

EntrySource Distribution::Impl::ClassifySource(const Context& context,
                                               const membership::NodeId& from) {
  const membership::Member* member = context.members.Find(from);
  if (member != nullptr && member->zone != this->topology.Zone()) {
    return EntrySource::kOtherZone;
  }
  // The root has no parent and treats entries from zone peers as if they came from one.
  const std::optional<membership::NodeId> parent = this->topology.Parent(this->options.fanout);
  return !parent || *parent == from ? EntrySource::kParent : EntrySource::kZonePeer;
}

void Distribution::Impl::PushToTargets(const Context& context, EntrySource source, Offset before) {
  if (this->replica.HeldOffset() <= before) {
    return;
  }
  const auto reachable = [this, &context](const membership::NodeId& id) {
    return this->links.IsReachable(id, context.now);
  };
  for (const membership::NodeId& id :
       this->strategy->Targets(source, this->topology, reachable, this->random)) {
    const Offset known = this->links.Get(context, id).held;
    this->exchange.Push(context, id, std::max(known, before));
  }
}

void Distribution::Impl::HandlePush(const Context& context, const membership::NodeId& from,
                                    const EntriesPush& push) {
  const Offset before = this->replica.HeldOffset();
  this->exchange.OnPush(context, from, push);
  this->readiness.OnPush(context, push);
  const EntrySource source = this->ClassifySource(context, from);
  // A reader that cannot reach the log receives entries from other regions and distributes them in
  // its own, as if it had read them.
  const bool for_region = source == EntrySource::kOtherZone && this->role.Active();
  this->PushToTargets(context, for_region ? EntrySource::kLog : source, before);
}

void Distribution::Impl::HandleHeartbeat(const Context& context, const membership::NodeId& from,
                                         const ReaderHeartbeat& heartbeat) {
  this->links.UpdateHeldOffset(context, from, heartbeat.held);
  this->role.OnHeartbeat(context, from, heartbeat, this->replica.HeldOffset());
  if (heartbeat.held > this->replica.HeldOffset()) {
    this->exchange.RequestEntriesOnce(context, from);
  }
}

void Distribution::Impl::HandleChunk(const Context& context, const membership::NodeId& from,
                                     const SnapshotChunk& chunk) {
  if (this->links.Get(context, from).state_diverged) {
    return;
  }
  this->links.UpdateHeldOffset(context, from, chunk.offset);
  this->snapshot_receiver.OnChunk(context, from, chunk);
}

void Distribution::Impl::HandleMessage(const Context& context, const PeerMessage& event) {
  if (const auto* query = std::get_if<HeldQuery>(&event.message)) {
    this->links.ResetHeldOffset(event.from);
    this->readiness.ReplyToHeldQuery(context, event.from, *query);
    return;
  }
  if (const auto* request = std::get_if<SnapshotRequest>(&event.message)) {
    this->snapshot_sender.OnRequest(context, event.from, *request);
    return;
  }
  const membership::Member* member = context.members.Find(event.from);
  const bool known = member != nullptr && member->state != membership::MemberState::kLeft &&
                     member->state != membership::MemberState::kDead;
  if (!known) {
    ++this->counters.non_member_messages;
    return;
  }
  this->links.MarkReachable(context, event.from);
  this->HandleMemberMessage(context, event);
}

void Distribution::Impl::HandleMemberMessage(const Context& context, const PeerMessage& event) {
  const membership::NodeId& from = event.from;
  if (const auto* push = std::get_if<EntriesPush>(&event.message)) {
    this->HandlePush(context, from, *push);
  } else if (const auto* ack = std::get_if<EntriesAck>(&event.message)) {
    this->exchange.OnAck(context, from, *ack);
  } else if (const auto* digest = std::get_if<Digest>(&event.message)) {
    this->exchange.OnDigest(context, from, *digest);
  } else if (const auto* request = std::get_if<EntriesRequest>(&event.message)) {
    this->exchange.OnRequest(context, from, *request);
  } else if (const auto* chunk = std::get_if<SnapshotChunk>(&event.message)) {
    this->HandleChunk(context, from, *chunk);
  } else if (const auto* later = std::get_if<SnapshotRetryLater>(&event.message)) {
    this->snapshot_receiver.OnRetryLater(context, from, *later);
  } else if (const auto* heartbeat = std::get_if<ReaderHeartbeat>(&event.message)) {
    this->HandleHeartbeat(context, from, *heartbeat);
  } else if (const auto* reply = std::get_if<HeldReply>(&event.message)) {
    this->links.UpdateHeldOffset(context, from, reply->held);
    this->readiness.OnHeldReply(from, *reply);
  }
}

void Distribution::Impl::Handle(const Context& context, const Event& event) {
  const Offset before = this->replica.HeldOffset();
  bool applied = false;
  if (const auto* message = std::get_if<PeerMessage>(&event)) {
    this->HandleMessage(context, *message);
  } else if (const auto* unreachable = std::get_if<PeerUnreachable>(&event)) {
    this->links.MarkUnreachable(context, unreachable->id);
    this->snapshot_receiver.OnUnreachable(unreachable->id);
    this->readiness.OnUnreachable(unreachable->id);
  } else if (const auto* read = std::get_if<LogRead>(&event)) {
    this->log.OnRead(context, *read, applied);
    this->snapshot_stream.OnRead(context, *read);
  } else if (const auto* failure = std::get_if<LogReadFailed>(&event)) {
    this->log.OnFailed(context, *failure);
    this->snapshot_stream.OnFailed(context, *failure);
  } else if (const auto* done = std::get_if<LogAppendDone>(&event)) {
    this->snapshot_stream.OnAppendDone(context, *done);
  } else if (const auto* append = std::get_if<LogAppendFailed>(&event)) {
    this->snapshot_stream.OnAppendFailed(context, *append);
  }
  if (applied) {
    // A starting node that is not a reader reads the log only to catch up itself.
    this->PushToTargets(context, this->role.Active() ? EntrySource::kLog : EntrySource::kZonePeer,
                        before);
  }
}

void Distribution::Impl::PutInForce(const Context& context) {
  const std::optional<std::size_t> needed = this->readiness.WitnessesNeeded(context);
  if (!needed) {
    return;
  }
  this->exchange.SetWitnessesNeeded(*needed);
  const Offset held = this->replica.HeldOffset();
  if (this->replica.InForceOffset() >= held) {
    return;
  }
  const Offset known = *needed == 0 ? held : this->links.OffsetHeldByAtLeast(*needed);
  const Offset witnessed = std::max(known, this->exchange.ReportedWitnessedOffset());
  for (acceptance::Verdict& verdict : this->replica.PutInForce(witnessed)) {
    context.effects.emplace_back(VerdictInForce{std::move(verdict)});
  }
}

// Snapshots are written by the reader of the log's region or, if that region has no members, by the
// reader of the first region.
bool Distribution::Impl::IsSnapshotWriter() {
  const std::vector<std::string> regions = this->topology.Regions();
  const bool known =
      std::find(regions.begin(), regions.end(), this->options.log_region) != regions.end();
  const bool own_region = known ? this->topology.Region() == this->options.log_region
                                : !regions.empty() && this->topology.Region() == regions.front();
  // Without heartbeats every candidate is active, so only the first one writes.
  const bool reader =
      this->strategy->EveryNodeReadsLog() ? this->role.Rank() == 0U : this->role.Active();
  return own_region && reader && this->readiness.Ready();
}

void Distribution::Impl::RunTimers(const Context& context) {
  this->counters.push_timeouts += this->links.ExpirePushes(context.now);
  const bool exchanges = !this->strategy->EveryNodeReadsLog();
  const bool reader = this->role.Update(context) || !exchanges;
  this->log.Run(context, this->catch_up.LogMode(context, reader));
  if (exchanges) {
    const bool following = this->log.Following() && !this->replica.StoppedAt();
    this->role.Run(context, this->replica.HeldOffset(), following);
    this->anti_entropy.Run(context, reader, following);
  }
  this->snapshot_receiver.Run(context);
  this->snapshot_stream.Run(context, this->IsSnapshotWriter(),
                            this->catch_up.NeedsStreamSnapshot(context));
  this->PutInForce(context);
  this->catch_up.Run(context);
  this->readiness.Run(context);
}

void Distribution::Impl::ReportReadiness(const Context& context) {
  if (this->readiness.Ready() != this->reported_ready) {
    this->reported_ready = this->readiness.Ready();
    context.effects.emplace_back(ReadinessChanged{this->reported_ready, this->readiness.Reason()});
  }
}

std::optional<utils::Timestamp> Distribution::Impl::ComputeNextWake() const {
  std::optional<utils::Timestamp> next;
  const bool exchanges = !this->strategy->EveryNodeReadsLog();
  for (const std::optional<utils::Timestamp>& due : {
           this->links.NextDeadline(),
           this->log.NextWake(),
           exchanges ? this->role.NextWake() : std::nullopt,
           exchanges ? this->anti_entropy.NextWake() : std::nullopt,
           this->snapshot_receiver.NextWake(),
           this->catch_up.NextWake(),
           this->readiness.NextWake(),
           this->snapshot_stream.NextWake(),
       }) {
    if (due && (!next || *due < *next)) {
      next = due;
    }
  }
  return next;
}

Distribution::Distribution(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
Distribution::Distribution(Distribution&&) noexcept = default;
Distribution& Distribution::operator=(Distribution&&) noexcept = default;
Distribution::~Distribution() = default;

utils::Result<Distribution> Distribution::Create(Options options) {
  const utils::Result<void> valid = Validate(options);
  if (!valid) {
    return tl::unexpected(valid.error());
  }
  return Distribution(std::make_unique<Impl>(std::move(options)));
}

std::vector<Effect> Distribution::Reduce(const Event& event, utils::Timestamp now,
                                         const membership::MemberView& members) {
  std::vector<Effect> effects;
  Impl& reducer = *this->impl;
  const Context context{.now = now, .members = members, .effects = effects};
  reducer.topology.Refresh(members);
  if (reducer.links_generation != members.Generation()) {
    reducer.links_generation = members.Generation();
    reducer.links.Refresh(context);
  }
  reducer.DetectPause(context);
  reducer.Handle(context, event);
  reducer.RunTimers(context);
  reducer.next_wake = reducer.ComputeNextWake();
  // One component can make a timer of another one due.
  for (int round = 1; round < kMaxTimerRounds && reducer.next_wake && *reducer.next_wake <= now;
       ++round) {
    reducer.RunTimers(context);
    reducer.next_wake = reducer.ComputeNextWake();
  }
  if (reducer.next_wake) {
    reducer.next_wake = std::max(*reducer.next_wake, now + kMinWakeDelay);
  }
  reducer.ReportReadiness(context);
  reducer.started = true;
  return effects;
}

std::optional<utils::Timestamp> Distribution::NextWake() const {
  return this->impl->started ? this->impl->next_wake : std::optional(utils::Timestamp{});
}

const acceptance::State& Distribution::InForce() const { return this->impl->replica.InForce(); }
Offset Distribution::Held() const { return this->impl->replica.HeldOffset(); }
bool Distribution::Ready() const { return this->impl->readiness.Ready(); }
std::string Distribution::Reason() const { return this->impl->readiness.Reason(); }
Offset Distribution::LogHead() const { return this->impl->log.Head(); }
std::optional<Offset> Distribution::StoppedAt() const { return this->impl->replica.StoppedAt(); }
const Counters& Distribution::GetCounters() const { return this->impl->counters; }

}  // namespace amaranthlatch::distribution
