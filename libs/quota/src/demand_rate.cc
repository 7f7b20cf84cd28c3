// Two exponential averages.

#include "demand_rate.h"

#include <algorithm>
#include <cmath>

#include "seconds.h"

namespace amaranthlatch::quota::details {

namespace {

constexpr double kFastSeconds = 0.3;
constexpr double kSlowSeconds = 2.0;
// An exponential average varies like one over a window of twice its time constant.
constexpr double kFastWindowSeconds = 2.0 * kFastSeconds;
// Multiple of the standard deviation of the fast average within which the slow one counts.
constexpr double kTolerance = 1.5;
// Shorter intervals than this hold too few calls.
constexpr utils::Duration kMinInterval = utils::Milliseconds(50);

double Move(double average, double value, double seconds, double time_constant) {
  return average + (value - average) * (1.0 - std::exp(-seconds / time_constant));
}

}  // namespace

void DemandRate::Update(utils::Timestamp now) {
  if (now - this->updated_at < kMinInterval) {
    return;
  }
  const double seconds = ToSeconds(now - this->updated_at);
  const double latest = this->count / seconds;
  this->fast = Move(this->fast, latest, seconds, kFastSeconds);
  this->slow = Move(this->slow, latest, seconds, kSlowSeconds);
  const double variation = kTolerance * std::sqrt(this->fast / kFastWindowSeconds);
  // Less than one call within the fast window is no evidence that calls have ceased.
  this->rate = std::clamp(this->slow, std::max(0.0, this->fast - variation),
                          this->fast + variation + 1.0 / kFastWindowSeconds);
  this->count = 0;
  this->updated_at = now;
}

}  // namespace amaranthlatch::quota::details
