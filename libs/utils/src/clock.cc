// The steady clock.

#include "amaranthlatch/utils/clock.h"

namespace amaranthlatch::utils {

Timestamp SteadyClock::Now() const {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return Timestamp(std::chrono::duration_cast<Duration>(since_start));
}

}  // namespace amaranthlatch::utils
