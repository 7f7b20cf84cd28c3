// Choice between the candidates of one level.

#include "amaranthlatch/calls/balance_policy.h"

#include <algorithm>

namespace amaranthlatch::calls {

namespace {
// Latency assumed before the first answer, so that unknown servers compare with known ones.
constexpr double kAssumedLatencyUs = 1'000.0;
// Two recent faults make a server look three times as expensive.
constexpr double kFaultWeight = 1.0;

// Latency assumed for the wait at a server that has not answered yet.
constexpr double kAssumedRunUs = 100'000.0;
// Share of its slots up to which a server counts as free.
constexpr double kFreeShare = 0.9;

double CostOf(const Candidate& candidate) {
  const double latency = candidate.latency_us > 0.0 ? candidate.latency_us : kAssumedLatencyUs;
  const double load = std::max(candidate.in_flight, candidate.reported_load) + 1.0;
  const double slots = std::max<std::uint32_t>(1, candidate.member->slots) * candidate.warmth;
  return latency * load / slots * (1.0 + kFaultWeight * candidate.faults);
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
  // A server that warms up loses its draw as often as its warmth demands.
  if (candidates[first].warmth < 1.0 && !random.Bernoulli(candidates[first].warmth)) {
    return second;
  }
  return CostOf(candidates[second]) < CostOf(candidates[first]) ? second : first;
}

utils::Duration ExpectedTimePolicy::ExpectedWait(const Candidate& candidate) const {
  const double latency = candidate.latency_us > 0.0 ? candidate.latency_us : kAssumedRunUs;
  const double slots = std::max<std::uint32_t>(1, candidate.member->slots) * candidate.warmth;
  const double load = candidate.ahead + 1.0;
  // Up to its slots a server answers at once; a nearly full one is given up a little earlier.
  const double waiting = std::max(0.0, load - kFreeShare * slots) / slots;
  return utils::Duration(static_cast<utils::Duration::rep>(waiting * latency));
}

double ExpectedTimePolicy::ExpectedUs(const Candidate& candidate) const {
  const auto count = [](utils::Duration duration) { return static_cast<double>(duration.count()); };
  double expected =
      count(this->ExpectedWait(candidate)) + candidate.faults * count(this->weights.fault);
  if (candidate.distance == Distance::kRegion) {
    expected += count(this->weights.zone_crossing);
  } else if (candidate.distance == Distance::kOtherRegion) {
    expected += count(this->weights.region_crossing);
  }
  return expected;
}

std::size_t ExpectedTimePolicy::Choose(std::span<const Candidate> candidates,
                                       utils::Random& random) {
  // Equal candidates, as in an idle zone, share the calls.
  const std::size_t first = random.Uniform(candidates.size());
  std::size_t best = first;
  double best_us = this->ExpectedUs(candidates[first]);
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const std::size_t index = (first + i) % candidates.size();
    const double expected = this->ExpectedUs(candidates[index]);
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
