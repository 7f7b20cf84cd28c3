// Decides how many calls of a service and route may leave their zone, or their region.
//
// Each entry moves a share in steps: it is a reaction to waits that the calls themselves change,
// and that other entries react to as well. Without the steps, zones whose loads rise at the same
// time exchange their calls.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "amaranthlatch/calls/candidate_ranking.h"
#include "amaranthlatch/utils/random.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls::details {

class CrossingDecision {
 public:
  // Identifies a service and a route.
  using Key = std::uint64_t;

  // Returns the distance group for a call; the ranking must not be empty.
  std::size_t Choose(Key key, const CandidateRanking& ranking, utils::Timestamp now,
                     utils::Random& random);

  // A gate of this distance group refused a call because of its load.
  void OnRefused(Key key, std::size_t group, utils::Timestamp now);

  // Share of the calls that may go to this group although a nearer one could serve them.
  double Share(Key key, std::size_t group) const;

 private:
  struct Level {
    double share = 0.0;
    utils::Timestamp step_at{};
    // Calls since the last step, and those of them that were better served there.
    std::uint32_t calls = 0;
    std::uint32_t gains = 0;
  };
  using Levels = std::array<Level, kDistanceGroups>;

  static void Step(Level& level, utils::Timestamp now);

  // Bounded; only services and routes for which leaving has paid off are tracked.
  std::unordered_map<Key, Levels> states;
};

}  // namespace amaranthlatch::calls::details
