// Built-in load balancing policies.

#include "amaranthlatch/calls/balance_policy.h"

#include <algorithm>

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

double RelativeCost(const Candidate& candidate) {
  const double latency = candidate.latency_us > 0.0 ? candidate.latency_us : kDefaultLatencyUs;
  const double load = std::max(candidate.in_flight, candidate.reported_load) + 1.0;
  const double slots =
      std::max<std::uint32_t>(1, candidate.member->slots) * candidate.slow_start_factor;
  return latency * load / slots * (1.0 + kFailureCostFactor * candidate.failure_score);
}
}  // namespace

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

double ExpectedTimePolicy::ExpectedCostUs(const Candidate& candidate) const {
  const auto count = [](utils::Duration duration) { return static_cast<double>(duration.count()); };
  double expected =
      count(this->ExpectedWait(candidate)) + candidate.failure_score * count(this->costs.failure);
  if (candidate.distance == Distance::kZone) {
    expected += count(this->costs.cross_instance);
  } else if (candidate.distance == Distance::kRegion) {
    expected += count(this->costs.cross_zone);
  } else if (candidate.distance == Distance::kOtherRegion) {
    expected += count(this->costs.cross_region);
  }
  return expected;
}

std::size_t ExpectedTimePolicy::Choose(std::span<const Candidate> candidates,
                                       utils::Random& random) {
  // A random start spreads calls over equal candidates, as in an idle zone.
  const std::size_t first = random.Uniform(candidates.size());
  std::size_t best = first;
  double best_us = this->ExpectedCostUs(candidates[first]);
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const std::size_t index = (first + i) % candidates.size();
    const double expected = this->ExpectedCostUs(candidates[index]);
    if (expected < best_us) {
      best = index;
      best_us = expected;
    }
  }
  return best;
}

std::size_t RandomPolicy::Choose(std::span<const Candidate> candidates, utils::Random& random) {
  return random.Uniform(candidates.size());
}

}  // namespace amaranthlatch::calls
