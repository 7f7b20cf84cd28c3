// Moving averages in a short list, because a service has few routes in use.

#include "service_times.h"

#include <algorithm>

namespace amaranthlatch::calls::details {

void ServiceTimes::Record(RouteKey route, utils::Duration time) {
  // A sample of 0 would count as none.
  const double sample = static_cast<double>(time.count()) + 1.0;
  auto found = std::find_if(this->routes.begin(), this->routes.end(),
                            [route](const RouteTime& entry) { return entry.route == route; });
  if (found == this->routes.end()) {
    if (this->routes.size() >= kMaxRoutes) {
      this->routes.erase(std::min_element(this->routes.begin(), this->routes.end(),
                                          [](const auto& left, const auto& right) {
                                            return left.last_sample < right.last_sample;
                                          }));
    }
    found = this->routes.insert(this->routes.end(), RouteTime{route, 0.0, 0});
  }
  found->last_sample = ++this->samples;
  this->Update(found->mean_us, sample);
  this->Update(this->overall_us, sample);
}

utils::Duration ServiceTimes::Mean(RouteKey route) const {
  const auto found = std::find_if(this->routes.begin(), this->routes.end(),
                                  [route](const RouteTime& entry) { return entry.route == route; });
  return ToDuration(found == this->routes.end() ? this->overall_us : found->mean_us);
}

void ServiceTimes::Update(double& mean, double sample) const {
  mean = mean == 0.0 ? sample : mean + this->smoothing * (sample - mean);
}

}  // namespace amaranthlatch::calls::details
