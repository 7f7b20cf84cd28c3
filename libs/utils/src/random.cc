// Seeded random numbers.

#include "amaranthlatch/utils/random.h"

namespace amaranthlatch::utils {

namespace {
// A double holds 53 bits of mantissa.
constexpr int kMantissaShift = 64 - 53;
constexpr double kMantissaScale = 1.0 / 9007199254740992.0;
}  // namespace

double Random::Unit() {
  return static_cast<double>(this->engine() >> kMantissaShift) * kMantissaScale;
}

Duration Random::Jitter(Duration limit) {
  if (limit.count() <= 0) {
    return Duration::zero();
  }
  return Duration(
      static_cast<Duration::rep>(this->Below(static_cast<std::uint64_t>(limit.count()))));
}

}  // namespace amaranthlatch::utils
