// Time types of the reducers. Timestamps are points on the runtime's clock, never wall-clock times.

#pragma once

#include <chrono>
#include <cstdint>

namespace amaranthlatch::utils {

using Duration = std::chrono::microseconds;

// Clock type of Timestamp. It has no now(), so that reducers receive the time only as an argument.
struct RuntimeClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<RuntimeClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): std name.
};

using Timestamp = RuntimeClock::time_point;

constexpr Duration Milliseconds(std::int64_t count) { return std::chrono::milliseconds(count); }
constexpr Duration Seconds(std::int64_t count) { return std::chrono::seconds(count); }
constexpr std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace amaranthlatch::utils
