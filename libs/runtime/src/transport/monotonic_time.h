// The time of the transport, which does not advance while the instance is suspended, as Asio's
// timers do not.

#pragma once

#include <chrono>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime::details {

inline utils::Timestamp MonotonicNow() {
  return utils::Timestamp(std::chrono::duration_cast<utils::Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

}  // namespace amaranthlatch::runtime::details
