// SteadyClock on top of CLOCK_BOOTTIME.

#include "amaranthlatch/utils/clock.h"

#include <ctime>

namespace amaranthlatch::utils {

Timestamp SteadyClock::Now() const {
  // std::chrono::steady_clock excludes the time during which the instance is suspended, but
  // deadlines continue to run.
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Timestamp(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                                        std::chrono::nanoseconds(time.tv_nsec)));
}

}  // namespace amaranthlatch::utils
