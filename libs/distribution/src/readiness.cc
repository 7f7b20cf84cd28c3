// Readiness of starting nodes and of nodes resuming after a pause.

#include "readiness.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::distribution::details {

namespace {

// Time without a response after which a starting node stops waiting for the log.
constexpr utils::Duration kLogResponseTimeout = utils::Seconds(1);
constexpr utils::Duration kQueryInterval = utils::Milliseconds(500);
// Maximum number of queries per interval; the rest are sent in the next interval.
constexpr std::size_t kQueriesPerInterval = 256;
// The first replies complete the member list, so that later replies can omit it.
constexpr std::size_t kInitialQueries = 3;
constexpr std::size_t kMaxReportedMembers = 4'096;
constexpr std::size_t kRecheckPeers = 3;
constexpr utils::Duration kRecheckTimeout = utils::Seconds(2);
// Time allowed for reaching the offset that the first response reported.
constexpr utils::Duration kRecheckCatchUpTimeout = utils::Seconds(10);

std::uint64_t HashMembers(const std::set<membership::NodeId>& ids) {
  std::uint64_t hash = 0;
  for (const membership::NodeId& id : ids) {
    hash = utils::CombineHash(hash, utils::Hash64(id));
  }
  return hash;
}

}  // namespace

Readiness::Readiness(const Options& options, Topology& topology, const Replica& replica,
                     const LogFollower& log, EntryExchange& exchange, utils::Random& random)
    : options(options),
      topology(topology),
      replica(replica),
      log(log),
      exchange(exchange),
      random(random) {}

std::optional<std::size_t> Readiness::WitnessesNeeded(const Context& context) {
  if (this->options.spread == SpreadKind::kPoll) {
    return 0;
  }
  const std::size_t others = this->topology.ZonePeers().size();
  const utils::Timestamp start = this->started_at.value_or(context.now);
  if (others == 0 && this->options.witnesses > 0 &&
      context.now - start < this->options.sole_member_timeout) {
    return std::nullopt;
  }
  return std::min<std::size_t>(this->options.witnesses, others);
}

bool Readiness::ReachedTarget() const {
  if (!this->target) {
    return false;
  }
  Offset reachable = *this->target;
  if (const std::optional<Offset> stopped = this->replica.StoppedAt()) {
    // An earlier process of this release could not have served entries past the unsupported record.
    reachable = std::min(reachable, *stopped - 1);
  }
  return this->replica.InForceOffset() >= reachable;
}

void Readiness::Run(const Context& context) {
  this->last_run = context.now;
  if (!this->started_at) {
    this->started_at = context.now;
  }
  if (this->phase == Phase::kStarting) {
    this->RunStarting(context);
  } else if (this->phase == Phase::kRecheck) {
    this->RunRecheck(context);
  }
}

void Readiness::RunStarting(const Context& context) {
  if (this->log.FirstHead()) {
    this->target = this->log.FirstHead();
    this->querying = false;
  } else if (this->options.spread != SpreadKind::kPoll &&
             this->log.Unresponsive(context.now, kLogResponseTimeout)) {
    this->querying = true;
    this->QueryZone(context);
    this->target = this->OffsetProvenByZone();
  }
  // While no witnesses are known, a state at offset 0 does not prove that the log is empty.
  if (this->WitnessesNeeded(context) && this->ReachedTarget()) {
    this->phase = Phase::kReady;
    this->querying = false;
    this->answers.clear();
    this->reported_members.clear();
  }
}

std::set<membership::NodeId> Readiness::KnownZoneMembers() {
  std::set<membership::NodeId> members = this->reported_members;
  members.insert(this->topology.ZonePeers().begin(), this->topology.ZonePeers().end());
  members.erase(this->topology.Self());
  return members;
}

void Readiness::QueryZone(const Context& context) {
  if (this->next_query > context.now) {
    return;
  }
  this->next_query = context.now + kQueryInterval / 2 + this->random.Jitter(kQueryInterval);
  const std::set<membership::NodeId> known = this->KnownZoneMembers();
  std::vector<membership::NodeId> pending;
  for (const membership::NodeId& id : known) {
    const auto answer = this->answers.find(id);
    if (answer == this->answers.end() || !answer->second.ready) {
      pending.push_back(id);
    }
  }
  this->random.Shuffle(pending);
  const std::size_t limit = this->answers.empty() ? kInitialQueries : kQueriesPerInterval;
  pending.resize(std::min(pending.size(), limit));
  const HeldQuery query{HashMembers(known)};
  for (const membership::NodeId& id : pending) {
    context.Send(id, query);
  }
}

void Readiness::ReplyToHeldQuery(const Context& context, const membership::NodeId& from,
                                 const HeldQuery& query) const {
  HeldReply reply;
  reply.held = this->replica.HeldOffset();
  reply.ready = this->Ready();
  std::set<membership::NodeId> ids;
  const membership::MemberList zone = context.members.ZoneMembers(this->topology.Zone());
  for (const membership::Member& member : *zone) {
    if (member.id != from) {
      ids.insert(member.id);
    }
  }
  if (HashMembers(ids) != query.members_hash) {
    reply.zone_members.assign(ids.begin(), ids.end());
  }
  context.Send(from, std::move(reply));
}

std::optional<Offset> Readiness::OffsetProvenByZone() {
  const std::set<membership::NodeId> others = this->KnownZoneMembers();
  const std::size_t needed = std::min<std::size_t>(this->options.witnesses, others.size());
  if (needed == 0) {
    return std::nullopt;
  }
  Offset highest = 0;
  std::size_t missing = 0;
  for (const membership::NodeId& id : others) {
    const auto answer = this->answers.find(id);
    if (answer != this->answers.end()) {
      highest = std::max(highest, answer->second.held);
    }
    if (answer == this->answers.end() || !answer->second.ready) {
      ++missing;
    }
  }
  return missing < needed ? std::optional(highest) : std::nullopt;
}

void Readiness::OnHeldReply(const membership::NodeId& from, const HeldReply& reply) {
  if (this->phase != Phase::kStarting) {
    return;
  }
  this->answers[from] = Answer{.held = reply.held, .ready = reply.ready};
  for (const std::string& id : reply.zone_members) {
    if (this->reported_members.size() < kMaxReportedMembers) {
      this->reported_members.insert(id);
    }
  }
}

void Readiness::OnPause(const Context& context) {
  if (this->phase == Phase::kStarting) {
    return;
  }
  this->phase = Phase::kRecheck;
  this->recheck_deadline = context.now + kRecheckTimeout;
  this->recheck_reads = this->log.FinishedReads();
  this->recheck_peers.clear();
  this->recheck_target.reset();
  ++this->recheck_token;
  if (this->options.spread == SpreadKind::kPoll) {
    return;
  }
  std::vector<membership::NodeId> peers = this->topology.ZonePeers();
  this->random.Shuffle(peers);
  peers.resize(std::min(peers.size(), kRecheckPeers));
  for (const membership::NodeId& id : peers) {
    this->recheck_peers.insert(id);
    this->exchange.RequestEntries(context, id, this->recheck_token);
  }
}

void Readiness::RunRecheck(const Context& context) {
  const bool log_answered =
      this->options.spread == SpreadKind::kPoll && this->log.FinishedReads() > this->recheck_reads;
  const bool no_peers_left = this->options.spread != SpreadKind::kPoll && !this->recheck_target &&
                             this->recheck_peers.empty();
  const bool caught_up =
      this->recheck_target && this->replica.InForceOffset() >= *this->recheck_target;
  // Peers that do not respond are treated as partitioned from this node, which continues with its
  // current state.
  if (log_answered || no_peers_left || caught_up || this->recheck_deadline <= context.now) {
    this->phase = Phase::kReady;
  }
}

void Readiness::OnPush(const Context& context, const EntriesPush& push) {
  const bool answers = this->phase == Phase::kRecheck && push.token == this->recheck_token;
  if (answers && !this->recheck_target) {
    this->recheck_target = push.previous + push.entries.size();
    this->recheck_deadline = context.now + kRecheckCatchUpTimeout;
  }
}

void Readiness::OnUnreachable(const membership::NodeId& id) { this->recheck_peers.erase(id); }

std::optional<utils::Timestamp> Readiness::NextWake() const {
  if (this->phase == Phase::kRecheck) {
    return this->recheck_deadline;
  }
  if (this->phase == Phase::kReady || !this->started_at) {
    return std::nullopt;
  }
  const utils::Timestamp sole_member_at = *this->started_at + this->options.sole_member_timeout;
  if (this->querying) {
    return this->next_query;
  }
  return sole_member_at > this->last_run ? std::optional(sole_member_at) : std::nullopt;
}

std::string Readiness::Reason() const {
  if (this->phase == Phase::kReady) {
    return "";
  }
  if (this->phase == Phase::kRecheck) {
    return "recheck after a pause";
  }
  if (this->target) {
    return "starting: offset " + std::to_string(this->replica.InForceOffset()) + " of " +
           std::to_string(*this->target) + " is in force";
  }
  if (!this->querying) {
    return "starting: the head of the log is not known";
  }
  std::size_t ready = 0;
  for (const auto& [id, answer] : this->answers) {
    ready += answer.ready ? 1 : 0;
  }
  return "starting: the log does not answer, and only " + std::to_string(ready) +
         " members of the zone have a proven state";
}

}  // namespace amaranthlatch::distribution::details
