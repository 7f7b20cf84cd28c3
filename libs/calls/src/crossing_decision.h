// Decides which calls of a service and route leave their zone, or their region, and how many.
//
// A call leaves only if that gains more than it costs: the waiting time that it saves, or, if no
// near server answers it in time, the loss of the call.
//
// Each entry moves a share in steps: it is a reaction to waits that the calls themselves change,
// and that other entries react to as well. Without the steps, zones whose loads rise at the same
// time exchange their calls.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "amaranthlatch/calls/candidate_ranking.h"
#include "amaranthlatch/utils/random.h"
#include "amaranthlatch/utils/time.h"
#include "route_averages.h"

namespace amaranthlatch::calls::details {

class CrossingDecision {
 public:
  // Identifies a service and a route.
  using Key = std::uint64_t;
  static Key KeyOf(std::string_view service, RouteKey route);

  // What one call has at stake.
  struct Stake {
    // Nearest group in which the service has a ready server, which the call may have tried already.
    std::size_t home = 0;
    // What a call that is refused or answered late costs, in microseconds.
    double loss_us = std::numeric_limits<double>::infinity();
    // Whether a gate refused the call before. Such calls are not limited by the share.
    bool is_repeated = false;
  };

  // Returns the distance group for a call, or nothing if only servers that are not worth crossing
  // for are left. The ranking must not be empty.
  std::optional<std::size_t> Choose(Key key, const CandidateRanking& ranking, const Stake& stake,
                                    utils::Timestamp now, utils::Random& random);
  // Whether the last Choose() kept a call at home that a far server would have answered in time.
  bool WasTooExpensive() const { return this->too_expensive; }

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
  // The best group beyond `home` that answers the call in time and costs less than its loss.
  std::optional<std::size_t> FindRescue(const CandidateRanking& ranking, std::size_t home,
                                        double home_crossing_us, double loss_us);
  // The group for a call that some near server answers in time.
  std::size_t ChooseByShare(Key key, const CandidateRanking& ranking, std::size_t near,
                            utils::Timestamp now, utils::Random& random);

  // Bounded; only services and routes for which leaving has paid off are tracked.
  std::unordered_map<Key, Levels> states;
  bool too_expensive = false;
};

}  // namespace amaranthlatch::calls::details
