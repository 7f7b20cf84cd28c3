// The best few candidates of each distance group.
//
// Within a group the expected completion decides. Between groups the speed of servers does not
// count: slow servers are no reason to leave the zone.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "amaranthlatch/utils/random.h"

namespace amaranthlatch::calls {

// Candidates of the same zone with this instance, of other zones of the region, of other regions.
inline constexpr std::size_t kDistanceGroups = 3;

struct RankedCandidate {
  // Position in the ranked candidates.
  std::size_t index = 0;
  // Expected cost of the call, in microseconds: waiting, crossing and failures.
  double cost_us = 0.0;
  // Its parts for crossing and for failures.
  double crossing_us = 0.0;
  double failure_us = 0.0;
  // Time by which the server is slower than the mean of the service; negative if it is faster.
  double speed_us = 0.0;
  // Time that each further call adds to the wait.
  double step_us = 0.0;
  bool is_own_instance = false;
  // The answer would come too late.
  bool is_late = false;
  // Recent attempts did not reach it.
  bool is_unreachable = false;
  bool has_free_slot = false;
  // There is a recent load report.
  bool has_report = false;
};

class CandidateRanking {
 public:
  void Add(std::size_t group, const RankedCandidate& candidate);

  bool IsEmpty(std::size_t group) const { return this->groups.at(group).count == 0; }
  // The candidate of lowest cost of a group that is not empty.
  const RankedCandidate& Best(std::size_t group) const { return this->groups.at(group).lowest; }
  // The group with the best candidate of all; there must be one.
  std::size_t BestGroup() const;
  // Whether the best candidate of the left group is better; neither may be empty.
  bool IsBetterGroup(std::size_t left, std::size_t right) const;

  // Index of one of the best candidates of a group that is not empty. The probability halves with
  // each two calls of difference in cost: entries with the same reports must not all send to the
  // same gate. A candidate of the own instance is always taken if it is the best one.
  std::size_t Draw(std::size_t group, utils::Random& random) const;

  // Number of candidates of a group that are kept.
  static constexpr std::size_t kKept = 4;

 private:
  struct Group {
    std::size_t count = 0;
    std::array<RankedCandidate, kKept> best{};
    RankedCandidate lowest;
  };

  std::array<Group, kDistanceGroups> groups{};
};

}  // namespace amaranthlatch::calls
