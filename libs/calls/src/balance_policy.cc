// Choice between the candidates of one level.

#include "amaranthlatch/calls/balance_policy.h"

#include <algorithm>

namespace amaranthlatch::calls {

namespace {
// Latency assumed before the first answer, so that unknown servers compare with known ones.
constexpr double kAssumedLatencyUs = 1'000.0;
// Two recent faults make a server look three times as expensive.
constexpr double kFaultWeight = 1.0;

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
  const std::size_t first = random.Below(candidates.size());
  std::size_t second = random.Below(candidates.size() - 1);
  if (second >= first) {
    ++second;
  }
  // A server that warms up loses its draw as often as its warmth demands.
  if (candidates[first].warmth < 1.0 && !random.Chance(candidates[first].warmth)) {
    return second;
  }
  return CostOf(candidates[second]) < CostOf(candidates[first]) ? second : first;
}

std::size_t RandomPolicy::Choose(std::span<const Candidate> candidates, utils::Random& random) {
  return random.Below(candidates.size());
}

}  // namespace amaranthlatch::calls
