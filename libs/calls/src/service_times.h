// Moving averages of service times by route.
//
// Routes of one service differ in their work: with one mean for all of them, a short call is
// refused whenever the calls before it are long, although it would be answered in time.

#pragma once

#include <cstddef>
#include <optional>

#include "amaranthlatch/utils/time.h"
#include "route_averages.h"

namespace amaranthlatch::calls::details {

class ServiceTimes {
 public:
  // `smoothing`: weight of a new sample, in (0, 1].
  explicit ServiceTimes(double smoothing) : averages(smoothing) {}

  void Record(RouteKey route, utils::Duration time) {
    // A mean of 0 would read as unknown.
    this->averages.Record(route, static_cast<double>(time.count()) + 1.0);
  }

  // Moving average of the route; empty without a sample of it.
  std::optional<utils::Duration> Find(RouteKey route) const {
    return ToDuration(this->averages.Find(route));
  }
  // Moving average of the route; of all routes if this one has no sample, 0 without any.
  utils::Duration Mean(RouteKey route) const { return this->Find(route).value_or(this->Mean()); }
  utils::Duration Mean() const {
    return ToDuration(this->averages.Overall()).value_or(utils::Duration{});
  }

  static constexpr std::size_t kMaxRoutes = RouteAverages::kMaxRoutes;

 private:
  static std::optional<utils::Duration> ToDuration(std::optional<double> time_us) {
    return time_us ? std::optional(utils::Duration(static_cast<utils::Duration::rep>(*time_us)))
                   : std::nullopt;
  }

  RouteAverages averages;
};

}  // namespace amaranthlatch::calls::details
