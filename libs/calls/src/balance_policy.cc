// Built-in load balancing policies.

#include "amaranthlatch/calls/balance_policy.h"

#include <algorithm>
#include <array>

namespace amaranthlatch::calls {

namespace {
// Latency assumed before the first answer, so that new backend servers are comparable with known
// ones.
constexpr double kDefaultLatencyUs = 1'000.0;
// Relative cost added by each recent failure: two failures triple the cost.
constexpr double kFailureCostFactor = 1.0;

// Service time assumed for the expected wait at a backend server that has not answered yet.
constexpr double kDefaultServiceTimeUs = 100'000.0;
// Share of its slots up to which a backend server is assumed to have no queue.
constexpr double kFreeSlotShare = 0.9;
// Share of a reported wait by which it is taken to have shrunk at most since the report.
constexpr double kMaxDrainedShare = 0.5;

// As at gates: a call that will be queued must be in time with a run twice as long as expected.
constexpr double kQueuedRunTimes = 2.0;

constexpr std::size_t kDistances = 4;

// Without a jump at the tolerance, where servers of nearly the same speed would change places.
double BeyondTolerance(double factor) {
  return factor > kSpeedTolerance         ? factor / kSpeedTolerance
         : factor * kSpeedTolerance < 1.0 ? factor * kSpeedTolerance
                                          : 1.0;
}

// Whether a server is so much slower than others that it would answer late, even at once.
bool IsTooSlow(const Candidate& candidate, double wait_us, const CallProfile& profile) {
  const auto budget_us = static_cast<double>(profile.budget.count());
  return candidate.speed_factor > kSpeedTolerance && profile.service_time_us <= budget_us &&
         wait_us + profile.service_time_us * candidate.speed_factor > budget_us;
}

double RelativeCost(const Candidate& candidate) {
  const double latency = candidate.latency_us > 0.0 ? candidate.latency_us : kDefaultLatencyUs;
  const double load = std::max(candidate.in_flight, candidate.reported_load) + 1.0;
  const double slots =
      std::max<std::uint32_t>(1, candidate.member->slots) * candidate.slow_start_factor;
  return latency * load / slots * (1.0 + kFailureCostFactor * candidate.failure_score);
}
}  // namespace

Distance DistanceOf(const membership::Member& self, const membership::Member& member) {
  if (member.region != self.region) {
    return Distance::kOtherRegion;
  }
  if (member.zone != self.zone) {
    return Distance::kRegion;
  }
  return member.id == self.id ? Distance::kInstance : Distance::kZone;
}

bool IsLate(const Candidate& candidate, utils::Duration wait, utils::Duration budget) {
  const bool is_full = candidate.calls_ahead >= candidate.member->slots;
  const utils::Duration service_time(static_cast<utils::Duration::rep>(
      is_full ? kQueuedRunTimes * candidate.service_time_us : 0.0));
  return wait > budget || service_time > budget - wait;
}

std::size_t PowerOfTwoPolicy::Choose(std::span<const Candidate> candidates, utils::Random& random) {
  if (candidates.size() == 1) {
    return 0;
  }
  const std::size_t first = random.Uniform(candidates.size());
  std::size_t second = random.Uniform(candidates.size() - 1);
  if (second >= first) {
    ++second;
  }
  // During slow start a backend server is chosen only with the probability of its slow start
  // factor.
  if (candidates[first].slow_start_factor < 1.0 &&
      !random.Bernoulli(candidates[first].slow_start_factor)) {
    return second;
  }
  return RelativeCost(candidates[second]) < RelativeCost(candidates[first]) ? second : first;
}

ExpectedTimePolicy::Costs ExpectedTimePolicy::CostsOf(const CrossingOptions& options) {
  Costs costs;
  costs.cross_zone = options.zone;
  costs.cross_region = options.region;
  costs.cross_zone_per_kb = options.zone_per_kb;
  costs.cross_region_per_kb = options.region_per_kb;
  return costs;
}

bool ExpectedTimePolicy::PricesCrossing() const {
  const Costs defaults;
  return this->costs.cross_zone != defaults.cross_zone ||
         this->costs.cross_region != defaults.cross_region ||
         this->costs.cross_zone_per_kb != defaults.cross_zone_per_kb ||
         this->costs.cross_region_per_kb != defaults.cross_region_per_kb;
}

utils::Duration ExpectedTimePolicy::ExpectedWait(const Candidate& candidate) const {
  // The latency contains waits, so that it overestimates the wait of a call that overtakes others.
  double service_time = candidate.service_time_us;
  if (service_time == 0.0) {
    service_time = candidate.latency_us > 0.0 ? candidate.latency_us : kDefaultServiceTimeUs;
  }
  const double slots =
      std::max<std::uint32_t>(1, candidate.member->slots) * candidate.slow_start_factor;
  const double load = candidate.calls_ahead + 1.0;
  // Calls wait once the slots are in use; the margin avoids servers that are nearly full.
  const double waiting = std::max(0.0, load - kFreeSlotShare * slots) / slots;
  // The gate also knows what overtakes the call. The answer waits for the link only if the link is
  // busy for longer than the call takes.
  double wait = std::max(waiting * service_time, candidate.reported_wait_us);
  wait = std::max(wait, candidate.link_wait_us - service_time);
  // Queues drain from the report on. Without this, entries kept refusing calls by reports of queues
  // that had long been empty.
  wait -= std::min(candidate.report_age_us, wait * kMaxDrainedShare);
  return utils::Duration(static_cast<utils::Duration::rep>(wait));
}

double ExpectedTimePolicy::CrossingCostUs(Distance distance, const CallProfile& profile) const {
  const auto cost = [&profile](utils::Duration fixed, utils::Duration per_kilobyte) {
    return static_cast<double>(fixed.count()) +
           static_cast<double>(per_kilobyte.count()) * profile.kilobytes * profile.byte_weight;
  };
  switch (distance) {
    case Distance::kInstance:
      return 0.0;
    case Distance::kZone:
      return cost(this->costs.cross_instance, {});
    case Distance::kRegion:
      return cost(this->costs.cross_zone, this->costs.cross_zone_per_kb);
    default:
      return cost(this->costs.cross_region, this->costs.cross_region_per_kb);
  }
}

CandidateRanking ExpectedTimePolicy::Rank(std::span<const Candidate> candidates,
                                          const CallProfile& profile, utils::Random& random) const {
  std::array<double, kDistances> crossing_us{};
  for (std::size_t i = 0; i < kDistances; ++i) {
    crossing_us.at(i) = this->CrossingCostUs(static_cast<Distance>(i), profile);
  }
  const auto failure_cost_us = static_cast<double>(this->costs.failure.count());
  CandidateRanking ranking;
  const auto add = [&](std::size_t index) {
    const Candidate& candidate = candidates[index];
    const utils::Duration wait = this->ExpectedWait(candidate);
    RankedCandidate ranked;
    ranked.index = index;
    ranked.crossing_us = crossing_us.at(static_cast<std::size_t>(candidate.distance));
    ranked.failure_us = candidate.failure_score * failure_cost_us;
    ranked.cost_us = static_cast<double>(wait.count()) + ranked.crossing_us + ranked.failure_us;
    ranked.step_us =
        (profile.service_time_us > 0.0 ? profile.service_time_us : candidate.service_time_us) /
        std::max<std::uint32_t>(1, candidate.member->slots);
    ranked.is_own_instance = candidate.distance == Distance::kInstance;
    ranked.speed_us = profile.service_time_us * (BeyondTolerance(candidate.speed_factor) - 1.0);
    ranked.is_late = IsLate(candidate, wait, profile.budget) ||
                     IsTooSlow(candidate, static_cast<double>(wait.count()), profile);
    ranked.is_unreachable = candidate.is_unreachable;
    ranked.has_free_slot = candidate.calls_ahead < candidate.member->slots;
    ranked.has_report = candidate.has_report;
    ranking.Add(GroupOf(candidate.distance), ranked);
  };
  // A random start spreads calls over equal candidates, as in an idle zone.
  const std::size_t first = random.Uniform(candidates.size());
  for (std::size_t i = first; i < candidates.size(); ++i) {
    add(i);
  }
  for (std::size_t i = 0; i < first; ++i) {
    add(i);
  }
  return ranking;
}

std::size_t ExpectedTimePolicy::Choose(std::span<const Candidate> candidates,
                                       utils::Random& random) {
  const CandidateRanking ranking = this->Rank(candidates, CallProfile{}, random);
  return ranking.Draw(ranking.BestGroup(), random);
}

std::size_t RandomPolicy::Choose(std::span<const Candidate> candidates, utils::Random& random) {
  return random.Uniform(candidates.size());
}

}  // namespace amaranthlatch::calls
