// Split targets, locality levels and the choice of a gate.

#include "balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

#include "link_budget.h"

namespace amaranthlatch::calls::details {

namespace {
using document::LocalityPreference;
using membership::Member;
using membership::MemberState;
using membership::NodeId;

constexpr double kMinSlowStartFactor = 0.1;
// Recent failures above which a gate that was not reached counts as absent. One alone may be a
// message that was lost.
constexpr double kUnreachableFailureScore = 1.0;
// Age at which a report on the speed of a server has lost its weight. A server five times slower
// than others is tried again after three quarters of it.
constexpr utils::Duration kSpeedMemory = utils::Seconds(8);
constexpr double kPercent = 100.0;
constexpr double kBytesPerKilobyte = 1'000.0;
// Target latency from which on bytes weigh in full, and the least weights.
constexpr utils::Duration kFullWeightTarget = utils::Milliseconds(500);
constexpr double kMinByteWeight = 0.25;
constexpr double kInternalByteWeight = 0.5;

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

// Calls that others wait for, and calls with little time, weigh waiting more than bytes.
double ByteWeight(document::Priority priority, utils::Duration target_latency) {
  const double weight = target_latency.count() == 0
                            ? 1.0
                            : static_cast<double>(target_latency.count()) /
                                  static_cast<double>(kFullWeightTarget.count());
  return std::clamp(weight, kMinByteWeight, 1.0) *
         (priority == document::Priority::kInternal ? kInternalByteWeight : 1.0);
}

// Remaining weight of an observation of this age.
double Decay(utils::Duration age, utils::Duration half_life) {
  return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(half_life.count()));
}

// The factor returns to the average with its age, so that a server which was slow is tried again. A
// square in place of an exponential keeps the choice among 300 candidates cheap.
double SpeedFactorAt(double factor, utils::Duration age) {
  if (age >= kSpeedMemory) {
    return 1.0;
  }
  const double left = 1.0 - static_cast<double>(age.count()) / kSpeedMemory.count();
  const double now = 1.0 + (factor - 1.0) * left * left;
  return now < kSpeedTolerance && now * kSpeedTolerance > 1.0 ? 1.0 : now;
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
                               std::optional<std::size_t>& target) {
  this->overloaded = false;
  this->crossing_too_expensive = false;
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
            this->ChooseTarget(context, route, route.split[index], demand, tried)) {
      target = index;
      return member;
    }
  }
  if (this->crossing_too_expensive) {
    ++this->shared.counters.services[route.split[*target].service].refused_crossing;
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

const Member* Balancer::ChooseTarget(const Context& context, const document::Route& route,
                                     const document::SplitTarget& target, const Demand& demand,
                                     const std::vector<NodeId>& tried) {
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
  std::optional<std::size_t> index;
  if (!this->policy->WeighsDistance()) {
    index = this->policy->Choose(level, this->shared.random);
  } else {
    index = this->ChooseByCost(target.service, route, demand, context.now);
    if (!index) {
      // The servers at home were tried; they may have room for the call again.
      this->Collect(context, *document, version->second, demand, {});
      index = this->ChooseByCost(target.service, route, demand, context.now);
    }
  }
  const Candidate& chosen = level[index.value_or(0)];
  this->expected_wait = this->policy->ExpectedWait(chosen);
  const bool has_free_slot = chosen.calls_ahead < chosen.member->slots;
  if (IsLate(chosen, this->expected_wait, demand.budget) ||
      (demand.needs_free_slot && !has_free_slot)) {
    this->overloaded = true;
    this->crossing_too_expensive = this->crossing.WasTooExpensive();
    return nullptr;
  }
  return chosen.member;
}

double Balancer::LossOf(const document::Route& route, const Demand& demand) const {
  // The caller of a nested call loses its own work without it.
  if (demand.priority == document::Priority::kInternal || !this->policy->PricesCrossing()) {
    return std::numeric_limits<double>::infinity();
  }
  const utils::Duration loss =
      demand.target_latency.count() > 0 ? demand.target_latency : route.deadline;
  return static_cast<double>(loss.count());
}

std::optional<std::size_t> Balancer::ChooseByCost(const std::string& service,
                                                  const document::Route& route,
                                                  const Demand& demand, utils::Timestamp now) {
  // Policies that account for distance expect all levels in one.
  const std::vector<Candidate>& candidates = this->levels[0];
  CallProfile profile;
  const RouteAveragesOfService averages = this->FindAverages(service, demand.route);
  profile.kilobytes =
      (static_cast<double>(demand.request_bytes) + averages.answer_bytes) / kBytesPerKilobyte;
  profile.byte_weight = ByteWeight(demand.priority, demand.target_latency);
  profile.service_time_us = averages.service_time_us;
  profile.budget = demand.budget;
  const CandidateRanking ranking = this->policy->Rank(candidates, profile, this->shared.random);
  const CrossingDecision::Stake stake{this->home, this->LossOf(route, demand), demand.is_repeated};
  const std::optional<std::size_t> group = this->crossing.Choose(
      CrossingDecision::KeyOf(service, demand.route), ranking, stake, now, this->shared.random);
  return group ? std::optional(ranking.Draw(*group, this->shared.random)) : std::nullopt;
}

utils::Duration Balancer::ExpectedWait(const Context& context, const NodeId& gate,
                                       const document::Route& route) {
  const Member* member = context.members.Find(gate);
  if (member == nullptr) {
    return {};
  }
  const Demand demand{route.priority, RouteKeyOf(route), {}, route.target_latency, {}, 0, false};
  return this->policy->ExpectedWait(
      this->MakeCandidate(*member, this->GetPeer(gate), {}, demand,
                          this->FindAverages(member->service, demand.route), context.now));
}

utils::Duration Balancer::MeanServiceTime(const std::string& service, RouteKey route) const {
  return utils::Duration(
      static_cast<utils::Duration::rep>(this->FindAverages(service, route).service_time_us));
}

Balancer::RouteAveragesOfService Balancer::FindAverages(const std::string& service,
                                                        RouteKey route) const {
  RouteAveragesOfService averages;
  if (const auto* known = this->statistics.Find(service)) {
    averages.service_time_us = static_cast<double>(known->service_times.Mean(route).count());
    averages.answer_bytes = known->answer_bytes.Find(route).value_or(0.0);
  }
  return averages;
}

bool Balancer::Collect(const Context& context, const document::ServiceDocument& document,
                       const document::VersionSelector& selector, const Demand& demand,
                       const std::vector<NodeId>& tried) {
  for (auto& level : this->levels) {
    level.clear();
  }
  this->home = kDistanceGroups - 1;
  const Member& self = context.members.Self();
  this->service_members = context.members.ServiceMembers(document.service);
  const ServicePeers& service = this->FindPeers(document.service, this->service_members);
  const RouteAveragesOfService averages = this->FindAverages(document.service, demand.route);
  bool found = false;
  for (std::size_t i = 0; i < service.peers.size(); ++i) {
    const Member& member = (*service.members)[i];
    Peer& peer = *service.peers[i];
    if (member.state != MemberState::kReady || member.slots == 0 ||
        !HasLabels(member, selector.labels) ||
        (peer.replaced_boot_id != 0 && peer.replaced_boot_id == member.boot_id)) {
      continue;
    }
    const Distance distance = DistanceOf(self, member);
    this->home = std::min(this->home, GroupOf(distance));
    if (std::find(tried.begin(), tried.end(), member.id) != tried.end()) {
      continue;
    }
    const std::size_t level = this->LevelForPolicy(self, member, document.locality.prefer);
    Candidate candidate = this->MakeCandidate(member, peer, document.protection.slow_start, demand,
                                              averages, context.now);
    candidate.distance = distance;
    if (candidate.distance == Distance::kInstance) {
      candidate.link_wait_us = 0.0;
    }
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
                                  const Demand& demand, const RouteAveragesOfService& averages,
                                  utils::Timestamp now) {
  if (peer.ready_boot_id != member.boot_id || peer.ready_incarnation != member.incarnation) {
    peer.ready_boot_id = member.boot_id;
    peer.ready_incarnation = member.incarnation;
    peer.ready_at = now;
  }
  const BalanceOptions& options = this->shared.options.balance;
  Candidate candidate;
  candidate.member = &member;
  candidate.in_flight = peer.in_flight;
  // A server that has not answered yet counts as an average one. Without this, the first calls all
  // went to servers whose time was taken for shorter than that of known ones.
  const auto service_time = peer.service_times.Find(demand.route);
  if (peer.speed_factor > 0.0) {
    candidate.speed_factor = SpeedFactorAt(peer.speed_factor, now - peer.speed_at);
    // The gate follows its server sooner than the mean of the service does.
    const bool is_told =
        peer.run_time_route == demand.route && now - peer.speed_at < options.load_report_lifetime;
    candidate.service_time_us =
        is_told ? peer.run_time_us : averages.service_time_us * candidate.speed_factor;
  } else {
    candidate.service_time_us =
        service_time ? static_cast<double>(service_time->count()) : averages.service_time_us;
  }
  if (candidate.service_time_us == 0.0 || !this->policy->WeighsDistance()) {
    // The latency decays, so that a backend server that was slow is eventually tried again.
    candidate.latency_us = static_cast<double>(peer.latencies.Mean(demand.route).count()) *
                           Decay(now - peer.latency_at, options.latency_half_life);
  }
  candidate.failure_score = this->DecayedFailureScore(peer, now);
  candidate.is_unreachable =
      peer.is_unreachable && candidate.failure_score > kUnreachableFailureScore;
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
    const auto reported_us = [&demand](const auto& wait_ms) {
      const utils::Duration wait =
          utils::Milliseconds(wait_ms.at(static_cast<std::size_t>(demand.priority)));
      return static_cast<double>(wait.count());
    };
    candidate.has_report = true;
    candidate.report_age_us = static_cast<double>((now - peer.load_at).count());
    // The wait is that behind all queued calls. A call of a workspace goes ahead of some of them,
    // or behind calls of others that come later.
    const std::uint32_t all_ahead = peer.load.CallsAhead(demand.priority);
    const double share =
        all_ahead > 0 ? static_cast<double>(candidate.reported_load) / all_ahead : 1.0;
    candidate.reported_wait_us = reported_us(peer.load.wait_ms) * share;
    // The transport sends small answers ahead of bulk.
    if (averages.answer_bytes > static_cast<double>(kMaxSmallAnswerBytes)) {
      candidate.link_wait_us = reported_us(peer.load.link_wait_ms);
    }
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

}  // namespace amaranthlatch::calls::details
