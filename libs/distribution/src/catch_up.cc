// Catching up.

#include "catch_up.h"

#include <algorithm>

namespace amaranthlatch::distribution::details {

namespace {

// Share of the questions that go beyond the zone although it has other members.
constexpr double kOutsideShare = 0.25;

}  // namespace

CatchUp::CatchUp(const Options& options, Topology& topology, const Replica& replica,
                 const Readiness& readiness, const LogFollower& log,
                 const SnapshotReceiver& receiver, AntiEntropy& anti_entropy,
                 EntryExchange& exchange, utils::Random& random)
    : options(options),
      topology(topology),
      replica(replica),
      readiness(readiness),
      log(log),
      receiver(receiver),
      anti_entropy(anti_entropy),
      exchange(exchange),
      random(random) {}

CatchUp::Need CatchUp::FindNeed(const Context& context) const {
  const Offset held = this->replica.HeldOffset();
  if (this->log.NeedsSnapshot() || (this->readiness.Starting() && held == 0)) {
    return Need::kState;
  }
  if (this->readiness.Starting() && held < this->readiness.Target().value_or(held + 1) &&
      !this->replica.StoppedAt()) {
    return Need::kEntries;
  }
  const bool lags = this->replica.InForceOffset() < held;
  return lags && context.now - this->last_progress >= this->options.ask_interval / 2
             ? Need::kWitnesses
             : Need::kNone;
}

std::optional<membership::NodeId> CatchUp::ChoosePeer(const Context& context) {
  const bool alone = this->topology.ZonePeers().empty();
  if (!alone && (this->need == Need::kWitnesses || !this->random.Bernoulli(kOutsideShare))) {
    return this->anti_entropy.RandomZonePeer(context);
  }
  return this->anti_entropy.RandomOutsidePeer(context);
}

void CatchUp::Run(const Context& context) {
  if (!this->join_at) {
    this->join_at = context.now + this->random.Jitter(this->options.join_jitter);
    this->last_progress = *this->join_at;
  }
  if (this->replica.HeldOffset() > this->last_held || this->receiver.Receiving()) {
    this->last_held = this->replica.HeldOffset();
    this->last_progress = std::max(this->last_progress, context.now);
  }
  const Need before = this->need;
  this->need = this->FindNeed(context);
  if (this->need == Need::kNone || !this->Joined(context.now)) {
    return;
  }
  if (this->receiver.Receiving()) {
    this->next_ask = context.now + this->options.ask_interval;
    return;
  }
  if (before == Need::kNone) {
    this->next_ask = std::max(this->next_ask, context.now);
  }
  if (this->next_ask > context.now) {
    return;
  }
  const utils::Duration interval = this->options.ask_interval;
  this->next_ask = context.now + interval * 3 / 4 + this->random.Jitter(interval / 2);
  const std::optional<membership::NodeId> peer = this->ChoosePeer(context);
  if (!peer) {
    return;
  }
  if (this->need != Need::kState) {
    this->exchange.Ask(context, *peer);
  } else if (this->receiver.NotBefore() <= context.now) {
    context.Send(*peer, SnapshotRequest{});
  }
}

bool CatchUp::NoProgress(utils::Timestamp now) const {
  return now - this->last_progress >= this->options.log_fallback;
}

bool CatchUp::PeersMayHelp(const Context& context) const {
  return context.members.Size() > 1 && !this->NoProgress(context.now);
}

LogFollower::Mode CatchUp::LogMode(const Context& context, bool reader) const {
  if (!this->Joined(context.now)) {
    return LogFollower::Mode::kOff;
  }
  const bool starting = this->readiness.Starting();
  const Offset held = this->replica.HeldOffset();
  const bool much_missing = this->log.Head() > held + this->options.poll_records;
  if (reader) {
    // What other nodes may have is not read from the log, but the head is.
    const bool wait =
        starting && this->PeersMayHelp(context) && (!this->log.FirstHead() || much_missing);
    return wait ? LogFollower::Mode::kHead : LogFollower::Mode::kFollow;
  }
  if (!starting) {
    return LogFollower::Mode::kOff;
  }
  const bool behind = held < this->readiness.Target().value_or(0);
  return behind && !this->PeersMayHelp(context) ? LogFollower::Mode::kFollow
                                                : LogFollower::Mode::kHead;
}

bool CatchUp::WantsSnapshotStream(const Context& context) const {
  return this->log.NeedsSnapshot() && this->Joined(context.now) && !this->receiver.Receiving() &&
         !this->PeersMayHelp(context);
}

std::optional<utils::Timestamp> CatchUp::NextWake() const {
  if (!this->join_at) {
    return std::nullopt;
  }
  if (this->need == Need::kNone) {
    const bool lags = this->replica.InForceOffset() < this->replica.HeldOffset();
    return lags ? std::optional(this->last_progress + this->options.ask_interval / 2)
                : std::nullopt;
  }
  return std::max(*this->join_at, this->next_ask);
}

}  // namespace amaranthlatch::distribution::details
