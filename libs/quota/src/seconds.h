// Durations as real numbers, for rates.

#pragma once

#include <chrono>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::quota::details {

inline double ToSeconds(utils::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

inline utils::Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<utils::Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace amaranthlatch::quota::details
