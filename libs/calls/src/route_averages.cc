// Moving averages in a short list.

#include "route_averages.h"

#include <algorithm>

namespace amaranthlatch::calls::details {

void RouteAverages::Record(RouteKey route, double sample) {
  const auto update = [this, sample](double& mean) { mean += this->smoothing * (sample - mean); };
  auto found = std::find_if(this->routes.begin(), this->routes.end(),
                            [route](const Average& entry) { return entry.route == route; });
  if (found == this->routes.end()) {
    if (this->routes.size() >= kMaxRoutes) {
      this->routes.erase(std::min_element(this->routes.begin(), this->routes.end(),
                                          [](const auto& left, const auto& right) {
                                            return left.last_sample < right.last_sample;
                                          }));
    }
    found = this->routes.insert(this->routes.end(), Average{route, sample, 0});
  } else {
    update(found->mean);
  }
  found->last_sample = ++this->samples;
  if (this->overall) {
    update(*this->overall);
  } else {
    this->overall = sample;
  }
}

std::optional<double> RouteAverages::Find(RouteKey route) const {
  const auto found = std::find_if(this->routes.begin(), this->routes.end(),
                                  [route](const Average& entry) { return entry.route == route; });
  return found == this->routes.end() ? std::nullopt : std::optional<double>(found->mean);
}

}  // namespace amaranthlatch::calls::details
