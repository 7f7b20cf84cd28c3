// A high quantile of the latest samples of each route.

#include "caller_deadlines.h"

#include <algorithm>

namespace amaranthlatch::calls::details {

namespace {
constexpr std::size_t kMaxRoutes = 256;
// The usual time is determined anew after so many calls.
constexpr std::size_t kUpdateInterval = 16;
// Under overload, callers that come back twice leave a bit more than a third of first calls, which
// have the most time. Few callers that wait for longer than all others must not count.
constexpr double kUsualQuantile = 0.8;
// Share of the samples that have to be close to the quantile: where callers wait for different
// times, one with less time need not have called before.
constexpr double kMinShare = 0.2;
// Clocks and the way from the caller to this node make smaller differences.
constexpr utils::Duration kTolerance = utils::Milliseconds(20);
}  // namespace

void CallerDeadlines::Recent::Update() {
  const std::size_t size = std::min(this->count, kSamples);
  std::array<utils::Duration, kSamples> sorted = this->remaining;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(size);
  const auto at =
      sorted.begin() + static_cast<std::ptrdiff_t>(kUsualQuantile * static_cast<double>(size));
  std::nth_element(sorted.begin(), at, end);
  const utils::Duration quantile = *at;
  const auto close = std::count_if(sorted.begin(), end, [quantile](utils::Duration sample) {
    return sample <= quantile + kTolerance && sample >= quantile - kTolerance;
  });
  const bool is_usual = static_cast<double>(close) >= kMinShare * static_cast<double>(size);
  this->usual = is_usual ? quantile : utils::Duration{};
}

utils::Duration CallerDeadlines::RecordAge(RouteKey route, utils::Duration remaining) {
  if (this->routes.size() >= kMaxRoutes && !this->routes.contains(route)) {
    return {};
  }
  Recent& recent = this->routes[route];
  recent.remaining.at(recent.count % kSamples) = remaining;
  ++recent.count;
  if (recent.count % kUpdateInterval == 0) {
    recent.Update();
  }
  if (recent.usual.count() == 0) {
    return {};
  }
  const utils::Duration age = recent.usual - remaining;
  return age > kTolerance ? age : utils::Duration{};
}

}  // namespace amaranthlatch::calls::details
