// Moving averages of service times by route.
//
// Routes of one service differ in their work: with one mean for all of them, a short call is
// refused whenever the calls before it are long, although it would be answered in time.

#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/utils/hash.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls::details {

// Identifies a route by a hash of its name.
using RouteKey = std::uint64_t;

inline RouteKey RouteKeyOf(const document::Route& route) { return utils::Hash64(route.name); }

class ServiceTimes {
 public:
  // `smoothing`: weight of a new sample, in (0, 1].
  explicit ServiceTimes(double smoothing) : smoothing(smoothing) {}

  void Record(RouteKey route, utils::Duration time);

  // Moving average of the route; of all routes if this one has no sample, 0 without any.
  utils::Duration Mean(RouteKey route) const;
  utils::Duration Mean() const { return ToDuration(this->overall_us); }

  // Number of routes tracked; the one that was used longest ago makes way for another.
  static constexpr std::size_t kMaxRoutes = 16;

 private:
  struct RouteTime {
    RouteKey route = 0;
    double mean_us = 0.0;
    std::uint64_t last_sample = 0;
  };

  static utils::Duration ToDuration(double time_us) {
    return utils::Duration(static_cast<utils::Duration::rep>(time_us));
  }
  void Update(double& mean, double sample) const;

  double smoothing;
  std::vector<RouteTime> routes;
  std::uint64_t samples = 0;
  // 0 before the first sample.
  double overall_us = 0.0;
};

}  // namespace amaranthlatch::calls::details
