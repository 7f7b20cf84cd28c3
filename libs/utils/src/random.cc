// Conversion of the generator's 64-bit output to real numbers and durations.

#include "amaranthlatch/utils/random.h"

namespace amaranthlatch::utils {

namespace {
// A double has a 53-bit significand; the scale is 2^-53.
constexpr int kSignificandShift = 64 - 53;
constexpr double kSignificandScale = 1.0 / 9007199254740992.0;
}  // namespace

double Random::UniformReal() {
  return static_cast<double>(this->engine() >> kSignificandShift) * kSignificandScale;
}

Duration Random::Jitter(Duration limit) {
  if (limit.count() <= 0) {
    return Duration::zero();
  }
  return Duration(
      static_cast<Duration::rep>(this->Uniform(static_cast<std::uint64_t>(limit.count()))));
}

}  // namespace amaranthlatch::utils
