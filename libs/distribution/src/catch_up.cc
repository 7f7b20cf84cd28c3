// Peer selection and fallback to the log for nodes that are behind.

#include "catch_up.h"

#include <algorithm>

namespace amaranthlatch::distribution::details {

namespace {

// Probability that a request goes to a peer outside the zone although the zone has other members.
constexpr double kRemotePeerProbability = 0.25;

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

CatchUp::Need CatchUp::DetermineNeed(const Context& context) const {
  const Offset held = this->replica.HeldOffset();
  if (this->log.NeedsSnapshot() || (this->readiness.Starting() && held == 0)) {
    return Need::kState;
  }
  if (this->readiness.Starting() && held < this->readiness.Target().value_or(held + 1) &&
      !this->replica.StoppedAt()) {
    return Need::kEntries;
  }
  const bool witnesses_missing = this->replica.InForceOffset() < held;
  return witnesses_missing && context.now - this->last_progress >= this->options.ask_interval / 2
             ? Need::kWitnesses
             : Need::kNone;
}

std::optional<membership::NodeId> CatchUp::ChoosePeer(const Context& context) {
  const bool no_zone_peers = this->topology.ZonePeers().empty();
  if (!no_zone_peers &&
      (this->need == Need::kWitnesses || !this->random.Bernoulli(kRemotePeerProbability))) {
    return this->anti_entropy.RandomZonePeer(context);
  }
  return this->anti_entropy.RandomReader(context);
}

void CatchUp::Run(const Context& context) {
  if (!this->join_at) {
    this->join_at = context.now + this->random.Jitter(this->options.join_jitter);
    this->last_progress = *this->join_at;
  }
  if (this->replica.HeldOffset() > this->last_held_offset || this->receiver.Receiving()) {
    this->last_held_offset = this->replica.HeldOffset();
    this->last_progress = std::max(this->last_progress, context.now);
  }
  const Need previous_need = this->need;
  this->need = this->DetermineNeed(context);
  if (this->need == Need::kNone || !this->JoinDelayElapsed(context.now)) {
    return;
  }
  if (this->receiver.Receiving()) {
    this->next_request_at = context.now + this->options.ask_interval;
    return;
  }
  if (previous_need == Need::kNone) {
    this->next_request_at = std::max(this->next_request_at, context.now);
  }
  if (this->next_request_at > context.now) {
    return;
  }
  const utils::Duration interval = this->options.ask_interval;
  this->next_request_at = context.now + interval * 3 / 4 + this->random.Jitter(interval / 2);
  const std::optional<membership::NodeId> peer = this->ChoosePeer(context);
  if (!peer) {
    return;
  }
  if (this->need != Need::kState) {
    this->exchange.RequestEntries(context, *peer);
  } else if (this->receiver.EarliestRequestTime() <= context.now) {
    context.Send(*peer, SnapshotRequest{});
  }
}

bool CatchUp::IsStalled(utils::Timestamp now) const {
  return now - this->last_progress >= this->options.log_fallback;
}

bool CatchUp::CanUsePeers(const Context& context) const {
  return context.members.Size() > 1 && !this->IsStalled(context.now);
}

LogFollower::Mode CatchUp::LogMode(const Context& context, bool reader) const {
  if (!this->JoinDelayElapsed(context.now)) {
    return LogFollower::Mode::kOff;
  }
  const bool starting = this->readiness.Starting();
  const Offset held = this->replica.HeldOffset();
  const bool far_behind = this->log.Head() > held + this->options.poll_records;
  if (reader) {
    // Entries that peers may supply are not read from the log; only the head is.
    const bool await_peers =
        starting && this->CanUsePeers(context) && (!this->log.FirstHead() || far_behind);
    return await_peers ? LogFollower::Mode::kHeadOnly : LogFollower::Mode::kFollow;
  }
  if (!starting) {
    return LogFollower::Mode::kOff;
  }
  const bool behind = held < this->readiness.Target().value_or(0);
  return behind && !this->CanUsePeers(context) ? LogFollower::Mode::kFollow
                                               : LogFollower::Mode::kHeadOnly;
}

bool CatchUp::NeedsStreamSnapshot(const Context& context) const {
  return this->log.NeedsSnapshot() && this->JoinDelayElapsed(context.now) &&
         !this->receiver.Receiving() && !this->CanUsePeers(context);
}

std::optional<utils::Timestamp> CatchUp::NextWake() const {
  if (!this->join_at) {
    return std::nullopt;
  }
  if (this->need == Need::kNone) {
    const bool witnesses_missing = this->replica.InForceOffset() < this->replica.HeldOffset();
    return witnesses_missing ? std::optional(this->last_progress + this->options.ask_interval / 2)
                             : std::nullopt;
  }
  return std::max(*this->join_at, this->next_request_at);
}

}  // namespace amaranthlatch::distribution::details
