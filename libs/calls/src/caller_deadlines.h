// Estimates how long ago a caller made its request for the first time.
//
// Callers of a route wait for about the same time, and a caller that comes back after a refusal has
// less time left than one that calls for the first time. Load: under overload a third to a half of
// the calls are such repetitions. Without their age they were served as late as the first ones were
// in time, and took the places of calls that could still be in time.

#pragma once

#include <array>
#include <cstddef>
#include <unordered_map>

#include "amaranthlatch/utils/time.h"
#include "route_averages.h"

namespace amaranthlatch::calls::details {

class CallerDeadlines {
 public:
  // Records the time that the caller of a call will wait, and returns the time that the caller has
  // waited before: the difference to the usual time for the route. Zero until enough is known, and
  // where callers of the route have no usual time.
  utils::Duration RecordAge(RouteKey route, utils::Duration remaining);

 private:
  static constexpr std::size_t kSamples = 64;

  // The latest samples of a route.
  struct Recent {
    void Update();

    std::array<utils::Duration, kSamples> remaining{};
    // Samples since the first one; the next one is stored at `count % kSamples`.
    std::size_t count = 0;
    // Zero if there is none.
    utils::Duration usual{};
  };

  // Bounded; a route that is not recorded has no ages.
  std::unordered_map<RouteKey, Recent> routes;
};

}  // namespace amaranthlatch::calls::details
