// Moving averages of a quantity by route, for services whose routes differ in their work.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::calls::details {

// Identifies a route by a hash of its name.
using RouteKey = std::uint64_t;

inline RouteKey RouteKeyOf(const document::Route& route) { return utils::Hash64(route.name); }

class RouteAverages {
 public:
  // `smoothing`: weight of a new sample, in (0, 1].
  explicit RouteAverages(double smoothing) : smoothing(smoothing) {}

  // `sample` must not be negative.
  void Record(RouteKey route, double sample);

  // Moving average of the route; empty without a sample of it.
  std::optional<double> Find(RouteKey route) const;
  // Moving average of all routes; empty without a sample.
  std::optional<double> Overall() const { return this->overall; }

  // Number of routes tracked; the one that was used longest ago makes way for another.
  static constexpr std::size_t kMaxRoutes = 16;

 private:
  struct Average {
    RouteKey route = 0;
    double mean = 0.0;
    std::uint64_t last_sample = 0;
  };

  double smoothing;
  // A short list, because a service has few routes in use.
  std::vector<Average> routes;
  std::uint64_t samples = 0;
  std::optional<double> overall;
};

}  // namespace amaranthlatch::calls::details
