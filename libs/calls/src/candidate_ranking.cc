// Insertion into short sorted lists, and a weighted draw from them.

#include "amaranthlatch/calls/candidate_ranking.h"

#include <algorithm>
#include <cmath>

namespace amaranthlatch::calls {

namespace {
// Difference in cost, in further calls, at which the probability of a candidate halves.
constexpr double kHalvingCalls = 2.0;

// Servers that are faster than the mean are not put first, only drawn more often: all entry nodes
// would send to the same few of them between two reports.
double CompletionOf(const RankedCandidate& candidate) {
  return candidate.cost_us + std::max(0.0, candidate.speed_us);
}

// Unreachable candidates come last, late ones before them, and unknown ones after known ones of the
// same cost.
template <typename Cost>
bool IsBetter(const RankedCandidate& left, const RankedCandidate& right, const Cost& cost) {
  if (left.is_unreachable != right.is_unreachable) {
    return right.is_unreachable;
  }
  if (left.is_late != right.is_late) {
    return right.is_late;
  }
  const double left_us = cost(left);
  const double right_us = cost(right);
  return left_us < right_us || (left_us == right_us && left.has_report && !right.has_report);
}

bool IsCheaper(const RankedCandidate& left, const RankedCandidate& right) {
  return IsBetter(left, right, [](const RankedCandidate& it) { return it.cost_us; });
}

bool IsEarlier(const RankedCandidate& left, const RankedCandidate& right) {
  return IsBetter(left, right, CompletionOf);
}
}  // namespace

void CandidateRanking::Add(std::size_t index, const RankedCandidate& candidate) {
  Group& group = this->groups.at(index);
  if (group.count == 0 || IsCheaper(candidate, group.lowest)) {
    group.lowest = candidate;
  }
  if (group.count == kKept && !IsEarlier(candidate, group.best[kKept - 1])) {
    return;
  }
  std::size_t at = std::min(group.count, kKept - 1);
  while (at > 0 && IsEarlier(candidate, group.best.at(at - 1))) {
    group.best.at(at) = group.best.at(at - 1);
    --at;
  }
  group.best.at(at) = candidate;
  group.count = std::min(group.count + 1, kKept);
}

std::size_t CandidateRanking::BestGroup() const {
  std::size_t best = kDistanceGroups;
  for (std::size_t i = 0; i < kDistanceGroups; ++i) {
    if (!this->IsEmpty(i) && (best == kDistanceGroups || this->IsBetterGroup(i, best))) {
      best = i;
    }
  }
  return best;
}

bool CandidateRanking::IsBetterGroup(std::size_t left, std::size_t right) const {
  return IsCheaper(this->Best(left), this->Best(right));
}

std::size_t CandidateRanking::Draw(std::size_t index, utils::Random& random) const {
  const Group& group = this->groups.at(index);
  const RankedCandidate& first = group.best[0];
  const auto completion_us = [](const RankedCandidate& it) { return it.cost_us + it.speed_us; };
  const auto is_alike = [&first](const RankedCandidate& it) {
    return it.is_late == first.is_late && it.is_unreachable == first.is_unreachable;
  };
  const auto end = group.best.begin() + static_cast<std::ptrdiff_t>(group.count);
  // The own instance is left only for a server that is faster by more than a message costs.
  const bool is_own_best =
      first.is_own_instance && std::none_of(group.best.begin(), end, [&](const auto& it) {
        return is_alike(it) && completion_us(it) < completion_us(first);
      });
  if (group.count == 1 || is_own_best) {
    return first.index;
  }
  std::array<double, kKept> weights{};
  double sum = 0.0;
  for (std::size_t i = 0; i < group.count; ++i) {
    const RankedCandidate& candidate = group.best.at(i);
    const double calls =
        (completion_us(candidate) - completion_us(first)) / std::max(1.0, first.step_us);
    const bool is_drawn = is_alike(candidate) && (i == 0 || !candidate.is_own_instance);
    weights.at(i) = is_drawn ? std::exp2(-calls / kHalvingCalls) : 0.0;
    sum += weights.at(i);
  }
  double draw = random.UniformReal() * sum;
  for (std::size_t i = 0; i < group.count; ++i) {
    draw -= weights.at(i);
    if (draw < 0.0) {
      return group.best.at(i).index;
    }
  }
  return first.index;
}

}  // namespace amaranthlatch::calls
