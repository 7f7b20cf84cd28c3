// Learns how fast the backend server of this gate is now, over all routes.
//
// The time of a call is the usual time of its route multiplied by one factor, so that a change
// shows on every route after a few calls of any of them.

#pragma once

#include <cstdint>
#include <vector>

#include "amaranthlatch/utils/time.h"
#include "route_averages.h"

namespace amaranthlatch::calls::details {

class ServerSpeed {
 public:
  void Record(RouteKey route, utils::Duration time);

  // Expected time of a call of the route; zero before the first one.
  utils::Duration ExpectedTime(RouteKey route) const;

 private:
  struct Route {
    RouteKey key = 0;
    // Mean time, each divided by the factor of its moment.
    double mean_us = 0.0;
    std::uint32_t calls = 0;
    std::uint64_t last_call = 0;
  };

  const Route* Find(RouteKey route) const;
  // Makes room for a new route if there is none.
  Route& Get(RouteKey route);
  void Adapt(double ratio);

  // A short list, because a service has few routes in use.
  std::vector<Route> routes;
  std::uint64_t calls = 0;
  double factor = 1.0;
  // Consecutive calls that all took far longer, or all far shorter, than expected.
  std::uint32_t outliers = 0;
  bool outliers_are_slow = false;
  double outlier_sum = 0.0;
};

}  // namespace amaranthlatch::calls::details
