// Limits the log lines of one kind of event.

#pragma once

#include <chrono>
#include <cstdint>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime {

// Permits a number of lines in each second of the clock; the rest is counted.
class LineRateLimit {
 public:
  // Whether a line may be written now.
  bool Permit(utils::Timestamp now) {
    const utils::Timestamp current = std::chrono::time_point_cast<std::chrono::seconds>(now);
    if (current != this->second) {
      this->second = current;
      this->permitted = 0;
    }
    if (this->permitted == kLinesPerSecond) {
      ++this->dropped;
      return false;
    }
    ++this->permitted;
    return true;
  }

  // Lines that were not permitted.
  std::uint64_t Dropped() const { return this->dropped; }

 private:
  static constexpr std::uint32_t kLinesPerSecond = 20;

  utils::Timestamp second{};
  std::uint32_t permitted = 0;
  std::uint64_t dropped = 0;
};

}  // namespace amaranthlatch::runtime
