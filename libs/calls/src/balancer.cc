// Splits, locality levels and observations.

#include "balancer.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace amaranthlatch::calls::details {

namespace {
using document::LocalityPreference;
using membership::Member;
using membership::MemberState;
using membership::NodeId;

constexpr double kLatencyWeight = 0.2;
constexpr double kColdest = 0.1;
constexpr double kPercent = 100.0;

bool HasLabels(const Member& member, const document::Labels& labels) {
  return std::all_of(labels.begin(), labels.end(), [&member](const auto& label) {
    const auto found = member.labels.find(label.first);
    return found != member.labels.end() && found->second == label.second;
  });
}

std::size_t LevelOf(const Member& self, const Member& member, LocalityPreference prefer) {
  if (prefer == LocalityPreference::kNone) {
    return 0;
  }
  if (member.region != self.region) {
    return 3;
  }
  if (prefer == LocalityPreference::kRegion) {
    return 0;
  }
  if (member.id == self.id) {
    return 0;
  }
  return member.zone == self.zone ? 1 : 2;
}

Distance DistanceOf(const Member& self, const Member& member) {
  if (member.region != self.region) {
    return Distance::kOtherRegion;
  }
  return member.zone == self.zone ? Distance::kZone : Distance::kRegion;
}

// Share that is left of an observation of this age.
double Decay(utils::Duration age, utils::Duration half_life) {
  return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(half_life.count()));
}

double LoadOf(const std::vector<Candidate>& level) {
  double used = 0.0;
  double slots = 0.0;
  for (const Candidate& candidate : level) {
    const double own = candidate.member->slots;
    slots += own;
    used += std::min<double>(own, std::max(candidate.in_flight, candidate.reported_load));
  }
  return slots == 0.0 ? 1.0 : used / slots;
}
}  // namespace

Balancer::Balancer(Shared& shared, std::unique_ptr<BalancePolicy> policy)
    : shared(shared), policy(std::move(policy)) {}

const Member* Balancer::Choose(const Context& context, const document::Route& route,
                               const std::vector<NodeId>& tried, std::optional<std::size_t>& target,
                               utils::Duration patience) {
  this->crowded = false;
  if (!target) {
    target = this->DrawTarget(route);
  }
  if (!target) {
    return nullptr;
  }
  // A target without a ready server leaves its share to the next ones, unless the split is strict.
  const std::size_t count = route.strict_split ? 1 : route.split.size();
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t index = (*target + i) % route.split.size();
    if (route.split[index].weight == 0) {
      continue;
    }
    if (const Member* member =
            this->ChooseTarget(context, route.split[index], route.priority, tried, patience)) {
      target = index;
      return member;
    }
  }
  return nullptr;
}

std::optional<std::size_t> Balancer::DrawTarget(const document::Route& route) {
  std::uint64_t total = 0;
  for (const document::SplitTarget& target : route.split) {
    total += target.weight;
  }
  if (total == 0) {
    return std::nullopt;
  }
  std::uint64_t draw = this->shared.random.Uniform(total);
  std::size_t index = 0;
  while (draw >= route.split[index].weight) {
    draw -= route.split[index].weight;
    ++index;
  }
  return index;
}

const Member* Balancer::ChooseTarget(const Context& context, const document::SplitTarget& target,
                                     document::Priority priority, const std::vector<NodeId>& tried,
                                     utils::Duration patience) {
  const auto document = context.routes.Find(target.service);
  if (!document) {
    return nullptr;
  }
  const auto version = document->versions.find(target.version);
  if (version == document->versions.end()) {
    return nullptr;
  }
  if (!this->Collect(context, *document, version->second, priority, tried) &&
      (tried.empty() || !this->Collect(context, *document, version->second, priority, {}))) {
    return nullptr;
  }
  const std::vector<Candidate>& level = this->levels[this->ChooseLevel(document->locality)];
  const Candidate& chosen = level[this->policy->Choose(level, this->shared.random)];
  if (this->policy->ExpectedWait(chosen) > patience) {
    this->crowded = true;
    return nullptr;
  }
  return chosen.member;
}

bool Balancer::Collect(const Context& context, const document::ServiceDocument& document,
                       const document::VersionSelector& selector, document::Priority priority,
                       const std::vector<NodeId>& tried) {
  for (auto& level : this->levels) {
    level.clear();
  }
  const Member& self = context.members.Self();
  this->listed = context.members.OfService(document.service);
  bool found = false;
  for (const Member& member : *this->listed) {
    if (member.state != MemberState::kReady || member.slots == 0 ||
        !HasLabels(member, selector.labels) ||
        std::find(tried.begin(), tried.end(), member.id) != tried.end()) {
      continue;
    }
    const Peer& peer = this->Get(member.id);
    if (peer.gone_boot != 0 && peer.gone_boot == member.boot_id) {
      continue;
    }
    const std::size_t level = this->LevelFor(self, member, document.locality.prefer);
    Candidate candidate =
        this->Observe(member, document.protection.slow_start, priority, context.now);
    candidate.distance = DistanceOf(self, member);
    this->levels[level].push_back(candidate);
    found = true;
  }
  return found;
}

std::size_t Balancer::LevelFor(const Member& self, const Member& member,
                               LocalityPreference prefer) const {
  return this->policy->WeighsDistance() ? 0 : LevelOf(self, member, prefer);
}

Candidate Balancer::Observe(const Member& member, utils::Duration slow_start,
                            document::Priority priority, utils::Timestamp now) {
  Peer& peer = this->Get(member.id);
  if (peer.ready_boot != member.boot_id || peer.ready_incarnation != member.incarnation) {
    peer.ready_boot = member.boot_id;
    peer.ready_incarnation = member.incarnation;
    peer.ready_at = now;
  }
  const BalanceOptions& options = this->shared.options.balance;
  Candidate candidate;
  candidate.member = &member;
  candidate.in_flight = peer.in_flight;
  // An old latency counts less and less, so that a server that was slow is tried again.
  candidate.latency_us = peer.latency_us * Decay(now - peer.latency_at, options.latency_half_life);
  candidate.faults = this->DecayedFaults(peer, now);
  if (peer.unheard && now - peer.unheard_since > options.silence) {
    candidate.faults += static_cast<double>((now - peer.unheard_since) / options.silence);
  }
  candidate.ahead = peer.in_flight;
  if (now - peer.load_at < options.load_hint_time) {
    candidate.reported_load = peer.load.Ahead(priority);
    const auto end = peer.sent_since.begin() + static_cast<std::ptrdiff_t>(priority) + 1;
    candidate.ahead = std::accumulate(peer.sent_since.begin(), end, candidate.reported_load);
  }
  const utils::Duration age = now - peer.ready_at;
  if (age < slow_start) {
    const double share = static_cast<double>(age.count()) / static_cast<double>(slow_start.count());
    candidate.warmth = std::max(kColdest, share);
  }
  return candidate;
}

std::size_t Balancer::ChooseLevel(const document::Locality& locality) const {
  const double spill = locality.spill_load_percent / kPercent;
  std::size_t best = kLevels;
  double best_load = 0.0;
  for (std::size_t i = 0; i < kLevels; ++i) {
    if (this->levels[i].empty()) {
      continue;
    }
    const double load = LoadOf(this->levels[i]);
    if (load < spill) {
      return i;
    }
    if (best == kLevels || load < best_load) {
      best = i;
      best_load = load;
    }
  }
  return best;
}

double Balancer::DecayedFaults(const Peer& peer, utils::Timestamp now) const {
  if (peer.faults == 0.0) {
    return 0.0;
  }
  return peer.faults * Decay(now - peer.faults_at, this->shared.options.balance.half_life);
}

Balancer::Peer& Balancer::Get(const NodeId& id) {
  if (this->peers.size() >= this->shared.options.balance.capacity) {
    std::erase_if(this->peers, [](const auto& entry) { return entry.second.in_flight == 0; });
  }
  return this->peers[id];
}

void Balancer::OnSent(const NodeId& gate, document::Priority priority, utils::Timestamp now) {
  Peer& peer = this->Get(gate);
  ++peer.in_flight;
  ++peer.sent_since.at(static_cast<std::size_t>(priority));
  if (!peer.unheard) {
    peer.unheard = true;
    peer.unheard_since = now;
  }
}

void Balancer::OnEnded(const NodeId& gate, AttemptOutcome outcome, utils::Duration latency,
                       utils::Timestamp now) {
  Peer& peer = this->Get(gate);
  this->shared.Require(peer.in_flight > 0, "balancer: an attempt ended that was not sent");
  --peer.in_flight;
  peer.unheard = peer.unheard && peer.in_flight > 0;
  if (outcome == AttemptOutcome::kAnswered) {
    const auto sample = static_cast<double>(latency.count()) + 1.0;
    peer.latency_at = now;
    peer.latency_us = peer.latency_us == 0.0
                          ? sample
                          : peer.latency_us + kLatencyWeight * (sample - peer.latency_us);
  } else if (outcome == AttemptOutcome::kFault) {
    peer.faults = this->DecayedFaults(peer, now) + 1.0;
    peer.faults_at = now;
  }
}

void Balancer::OnLoad(const NodeId& gate, const GateLoad& load, utils::Timestamp now) {
  Peer& peer = this->Get(gate);
  peer.load = load;
  peer.sent_since = {};
  peer.load_at = now;
  // The calls that are still open are waited for from now on.
  peer.unheard = peer.in_flight > 1;
  peer.unheard_since = now;
}

void Balancer::OnForeignProcess(const NodeId& gate, std::uint64_t boot) {
  this->Get(gate).gone_boot = boot;
}

}  // namespace amaranthlatch::calls::details
