// Split targets, locality levels and observations of gates.

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

constexpr double kMinSlowStartFactor = 0.1;
constexpr double kPercent = 100.0;

bool HasLabels(const Member& member, const document::Labels& labels) {
  return std::all_of(labels.begin(), labels.end(), [&member](const auto& label) {
    const auto found = member.labels.find(label.first);
    return found != member.labels.end() && found->second == label.second;
  });
}

std::size_t LocalityLevel(const Member& self, const Member& member, LocalityPreference prefer) {
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
  if (member.zone != self.zone) {
    return Distance::kRegion;
  }
  return member.id == self.id ? Distance::kInstance : Distance::kZone;
}

// Remaining weight of an observation of this age.
double Decay(utils::Duration age, utils::Duration half_life) {
  return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(half_life.count()));
}

double Utilization(const std::vector<Candidate>& level) {
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

Balancer::Balancer(SharedState& shared, std::unique_ptr<BalancePolicy> policy)
    : shared(shared), policy(std::move(policy)) {}

const Member* Balancer::Choose(const Context& context, const document::Route& route,
                               const Demand& demand, const std::vector<NodeId>& tried,
                               std::optional<std::size_t>& target, utils::Duration max_wait) {
  this->overloaded = false;
  if (!target) {
    target = this->DrawTarget(route);
  }
  if (!target) {
    return nullptr;
  }
  // If a target has no ready backend server, its share goes to the next one unless the split is
  // strict.
  const std::size_t count = route.strict_split ? 1 : route.split.size();
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t index = (*target + i) % route.split.size();
    if (route.split[index].weight == 0) {
      continue;
    }
    if (const Member* member =
            this->ChooseTarget(context, route.split[index], demand, tried, max_wait)) {
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
                                     const Demand& demand, const std::vector<NodeId>& tried,
                                     utils::Duration max_wait) {
  const auto document = context.routes.Find(target.service);
  if (!document) {
    return nullptr;
  }
  const auto version = document->versions.find(target.version);
  if (version == document->versions.end()) {
    return nullptr;
  }
  if (!this->Collect(context, *document, version->second, demand, tried) &&
      (tried.empty() || !this->Collect(context, *document, version->second, demand, {}))) {
    return nullptr;
  }
  const std::vector<Candidate>& level = this->levels[this->ChooseLevel(document->locality)];
  const Candidate& chosen = level[this->policy->Choose(level, this->shared.random)];
  if (this->policy->ExpectedWait(chosen) > max_wait) {
    this->overloaded = true;
    return nullptr;
  }
  return chosen.member;
}

bool Balancer::Collect(const Context& context, const document::ServiceDocument& document,
                       const document::VersionSelector& selector, const Demand& demand,
                       const std::vector<NodeId>& tried) {
  for (auto& level : this->levels) {
    level.clear();
  }
  const Member& self = context.members.Self();
  this->service_members = context.members.ServiceMembers(document.service);
  const ServicePeers& service = this->FindPeers(document.service, this->service_members);
  bool found = false;
  for (std::size_t i = 0; i < service.peers.size(); ++i) {
    const Member& member = (*service.members)[i];
    Peer& peer = *service.peers[i];
    if (member.state != MemberState::kReady || member.slots == 0 ||
        !HasLabels(member, selector.labels) ||
        std::find(tried.begin(), tried.end(), member.id) != tried.end()) {
      continue;
    }
    if (peer.replaced_boot_id != 0 && peer.replaced_boot_id == member.boot_id) {
      continue;
    }
    const std::size_t level = this->LevelForPolicy(self, member, document.locality.prefer);
    Candidate candidate =
        this->MakeCandidate(member, peer, document.protection.slow_start, demand, context.now);
    candidate.distance = DistanceOf(self, member);
    this->levels[level].push_back(candidate);
    found = true;
  }
  return found;
}

std::size_t Balancer::LevelForPolicy(const Member& self, const Member& member,
                                     LocalityPreference prefer) const {
  return this->policy->WeighsDistance() ? 0 : LocalityLevel(self, member, prefer);
}

const Balancer::ServicePeers& Balancer::FindPeers(const std::string& service,
                                                  const membership::MemberList& members) {
  const auto found = this->peers_by_service.find(service);
  if (found != this->peers_by_service.end() && found->second.members == members) {
    return found->second;
  }
  this->MakeRoom(members->size());
  ServicePeers& known = this->peers_by_service[service];
  known.members = members;
  known.peers.clear();
  for (const Member& member : *members) {
    known.peers.push_back(&this->peers[member.id]);
  }
  return known;
}

Candidate Balancer::MakeCandidate(const Member& member, Peer& peer, utils::Duration slow_start,
                                  const Demand& demand, utils::Timestamp now) {
  if (peer.ready_boot_id != member.boot_id || peer.ready_incarnation != member.incarnation) {
    peer.ready_boot_id = member.boot_id;
    peer.ready_incarnation = member.incarnation;
    peer.ready_at = now;
  }
  const BalanceOptions& options = this->shared.options.balance;
  Candidate candidate;
  candidate.member = &member;
  candidate.in_flight = peer.in_flight;
  // The latency decays, so that a backend server that was slow is eventually tried again.
  candidate.latency_us = static_cast<double>(peer.latencies.Mean(demand.route).count()) *
                         Decay(now - peer.latency_at, options.latency_half_life);
  candidate.service_time_us = static_cast<double>(peer.service_times.Mean(demand.route).count());
  candidate.failure_score = this->DecayedFailureScore(peer, now);
  if (peer.awaiting_reply && now - peer.awaiting_since > options.silence_interval) {
    candidate.failure_score +=
        static_cast<double>((now - peer.awaiting_since) / options.silence_interval);
  }
  candidate.calls_ahead = peer.in_flight;
  if (now - peer.load_at < options.load_report_lifetime) {
    const double drain_rate =
        candidate.service_time_us > 0.0 ? member.slots / candidate.service_time_us : 0.0;
    candidate.reported_load = this->ReportedLoad(peer, demand, drain_rate, now);
    const auto end =
        peer.sent_since_report.begin() + static_cast<std::ptrdiff_t>(demand.priority) + 1;
    candidate.calls_ahead =
        std::accumulate(peer.sent_since_report.begin(), end, candidate.reported_load);
  }
  const utils::Duration age = now - peer.ready_at;
  if (age < slow_start) {
    const double share = static_cast<double>(age.count()) / static_cast<double>(slow_start.count());
    candidate.slow_start_factor = std::max(kMinSlowStartFactor, share);
  }
  return candidate;
}

std::uint32_t Balancer::ReportedLoad(const Peer& peer, const Demand& demand, double drain_rate,
                                     utils::Timestamp now) const {
  const std::uint32_t load = peer.load.CallsAhead(demand.priority);
  const WorkspaceLoads::Report* const report = peer.workspace_loads.Find(
      demand.workspace, demand.priority, now - this->shared.options.balance.load_report_lifetime);
  if (report == nullptr && demand.workspace.empty()) {
    return load;
  }
  const auto priority = static_cast<std::size_t>(demand.priority);
  const std::uint32_t queued = peer.load.queued.at(priority);
  const std::uint32_t ahead_of_new = peer.load.ahead_of_new.at(priority);
  std::uint32_t ahead = ahead_of_new;
  if (report != nullptr && queued > 0) {
    const double elapsed = static_cast<double>((now - report->at).count());
    const double left = static_cast<double>(report->ahead) - elapsed * drain_rate;
    ahead = std::max(ahead_of_new, static_cast<std::uint32_t>(std::max(0.0, left)));
  }
  return load - queued + ahead;
}

std::size_t Balancer::ChooseLevel(const document::Locality& locality) const {
  const double spill = locality.spill_load_percent / kPercent;
  std::size_t best = kLevels;
  double best_load = 0.0;
  for (std::size_t i = 0; i < kLevels; ++i) {
    if (this->levels[i].empty()) {
      continue;
    }
    const double load = Utilization(this->levels[i]);
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

double Balancer::DecayedFailureScore(const Peer& peer, utils::Timestamp now) const {
  if (peer.failure_score == 0.0) {
    return 0.0;
  }
  return peer.failure_score *
         Decay(now - peer.failure_score_at, this->shared.options.balance.half_life);
}

Balancer::Peer& Balancer::GetPeer(const NodeId& id) {
  const auto found = this->peers.find(id);
  if (found != this->peers.end()) {
    return found->second;
  }
  this->MakeRoom(1);
  return this->peers[id];
}

void Balancer::MakeRoom(std::size_t count) {
  if (this->peers.size() + count > this->shared.options.balance.capacity) {
    this->peers_by_service.clear();
    std::erase_if(this->peers, [](const auto& entry) { return entry.second.in_flight == 0; });
  }
}

void Balancer::OnSent(const NodeId& gate, document::Priority priority, utils::Timestamp now) {
  Peer& peer = this->GetPeer(gate);
  ++peer.in_flight;
  ++peer.sent_since_report.at(static_cast<std::size_t>(priority));
  if (!peer.awaiting_reply) {
    peer.awaiting_reply = true;
    peer.awaiting_since = now;
  }
}

void Balancer::OnEnded(const NodeId& gate, RouteKey route, AttemptOutcome outcome,
                       utils::Duration latency, utils::Timestamp now) {
  Peer& peer = this->GetPeer(gate);
  this->shared.Require(peer.in_flight > 0, "balancer: an attempt ended that was not sent");
  --peer.in_flight;
  peer.awaiting_reply = peer.awaiting_reply && peer.in_flight > 0;
  if (outcome == AttemptOutcome::kAnswered) {
    peer.latency_at = now;
    peer.latencies.Record(route, latency);
  } else if (outcome == AttemptOutcome::kFailed) {
    peer.failure_score = this->DecayedFailureScore(peer, now) + 1.0;
    peer.failure_score_at = now;
  }
}

void Balancer::OnServiceTime(const NodeId& gate, RouteKey route, utils::Duration time) {
  this->GetPeer(gate).service_times.Record(route, time);
}

void Balancer::OnLoadReport(const NodeId& gate, const GateLoad& load, utils::Timestamp now) {
  Peer& peer = this->GetPeer(gate);
  peer.load = load;
  peer.sent_since_report = {};
  peer.load_at = now;
  // The ending attempt is still counted in `in_flight`; other open calls are awaited from now on.
  peer.awaiting_reply = peer.in_flight > 1;
  peer.awaiting_since = now;
}

void Balancer::OnWorkspaceLoad(const NodeId& gate, const Demand& demand,
                               std::optional<std::uint32_t> ahead, utils::Timestamp now) {
  this->GetPeer(gate).workspace_loads.Record(demand.workspace, demand.priority, ahead, now);
}

void Balancer::OnProcessReplaced(const NodeId& gate, std::uint64_t boot) {
  this->GetPeer(gate).replaced_boot_id = boot;
}

}  // namespace amaranthlatch::calls::details
