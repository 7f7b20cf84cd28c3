// Moving average of the factor, and jumps after some outliers in a row.

#include "server_speed.h"

#include <algorithm>

namespace amaranthlatch::calls::details {

namespace {
// Run times vary by a factor of two, so that the factor needs some ten calls.
constexpr double kFactorSmoothing = 0.1;
// A call beyond this ratio to the expected time, or below its inverse, is an outlier. Three in a
// row on the same side are a change of the server: the average alone needs about 15 calls to follow
// one that became 5 times slower.
constexpr double kOutlierRatio = 2.0;
constexpr std::uint32_t kOutliersOfAChange = 3;
// Weight of a call in the mean of its route, after the first few.
constexpr double kRouteSmoothing = 0.05;
// Calls of a route before they count for the factor: a route whose first call was short would
// otherwise make all routes seem to take longer.
constexpr std::uint32_t kCallsToLearn = 10;
}  // namespace

void ServerSpeed::Adapt(double ratio) {
  const bool is_slow = ratio > this->factor * kOutlierRatio;
  const bool is_fast = ratio * kOutlierRatio < this->factor;
  if (!(is_slow || is_fast) || is_slow != this->outliers_are_slow) {
    this->outliers = 0;
    this->outlier_sum = 0.0;
  }
  if (is_slow || is_fast) {
    this->outliers_are_slow = is_slow;
    ++this->outliers;
    this->outlier_sum += ratio;
  }
  if (this->outliers == kOutliersOfAChange) {
    this->factor = this->outlier_sum / kOutliersOfAChange;
    this->outliers = 0;
    this->outlier_sum = 0.0;
  } else {
    this->factor += kFactorSmoothing * (ratio - this->factor);
  }
}

void ServerSpeed::Record(RouteKey route, utils::Duration time) {
  // A mean of 0 would make the ratio of the next call infinite.
  const double time_us = static_cast<double>(time.count()) + 1.0;
  Route& known = this->Get(route);
  if (known.calls >= kCallsToLearn) {
    this->Adapt(time_us / known.mean_us);
  }
  known.last_call = ++this->calls;
  known.calls = std::min(known.calls + 1, kCallsToLearn);
  const double weight = known.calls < kCallsToLearn ? 1.0 / known.calls : kRouteSmoothing;
  known.mean_us += weight * (time_us / this->factor - known.mean_us);
}

utils::Duration ServerSpeed::ExpectedTime(RouteKey route) const {
  const Route* const known = this->Find(route);
  return utils::Duration(
      static_cast<utils::Duration::rep>(known == nullptr ? 0.0 : known->mean_us * this->factor));
}

const ServerSpeed::Route* ServerSpeed::Find(RouteKey route) const {
  const auto found = std::find_if(this->routes.begin(), this->routes.end(),
                                  [route](const Route& known) { return known.key == route; });
  return found == this->routes.end() ? nullptr : &*found;
}

ServerSpeed::Route& ServerSpeed::Get(RouteKey route) {
  auto found = std::find_if(this->routes.begin(), this->routes.end(),
                            [route](const Route& known) { return known.key == route; });
  if (found != this->routes.end()) {
    return *found;
  }
  if (this->routes.size() < RouteAverages::kMaxRoutes) {
    return this->routes.emplace_back(Route{route, 0.0, 0, 0});
  }
  found = std::min_element(
      this->routes.begin(), this->routes.end(),
      [](const Route& left, const Route& right) { return left.last_call < right.last_call; });
  *found = Route{route, 0.0, 0, 0};
  return *found;
}

}  // namespace amaranthlatch::calls::details
