// Insertion into short sorted lists, and a weighted draw from them.

#include "amaranthlatch/calls/candidate_ranking.h"

#include <algorithm>
#include <cmath>

namespace amaranthlatch::calls {

namespace {
// Difference in cost, in further calls, at which the probability of a candidate halves.
constexpr double kHalvingCalls = 2.0;

// Unreachable candidates come last, late ones before them, and unknown ones after known ones of the
// same cost.
bool IsBetter(const RankedCandidate& left, const RankedCandidate& right) {
  if (left.is_unreachable != right.is_unreachable) {
    return right.is_unreachable;
  }
  if (left.is_late != right.is_late) {
    return right.is_late;
  }
  return left.cost_us < right.cost_us ||
         (left.cost_us == right.cost_us && left.has_report && !right.has_report);
}
}  // namespace

void CandidateRanking::Add(std::size_t index, const RankedCandidate& candidate) {
  Group& group = this->groups.at(index);
  if (group.count == kKept && !IsBetter(candidate, group.best[kKept - 1])) {
    return;
  }
  std::size_t at = std::min(group.count, kKept - 1);
  while (at > 0 && IsBetter(candidate, group.best.at(at - 1))) {
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
  return IsBetter(this->Best(left), this->Best(right));
}

std::size_t CandidateRanking::Draw(std::size_t index, utils::Random& random) const {
  const Group& group = this->groups.at(index);
  const RankedCandidate& first = group.best[0];
  if (group.count == 1 || first.is_own_instance) {
    return first.index;
  }
  std::array<double, kKept> weights{};
  double sum = 0.0;
  for (std::size_t i = 0; i < group.count; ++i) {
    const RankedCandidate& candidate = group.best.at(i);
    const double calls = (candidate.cost_us - first.cost_us) / std::max(1.0, first.step_us);
    const bool is_alike = candidate.is_late == first.is_late &&
                          candidate.is_unreachable == first.is_unreachable &&
                          !candidate.is_own_instance;
    weights.at(i) = is_alike ? std::exp2(-calls / kHalvingCalls) : 0.0;
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
