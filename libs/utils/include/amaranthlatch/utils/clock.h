// Clock interface of the runtime. Daemons use SteadyClock; tests control time with ManualClock.

#pragma once

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::utils {

class Clock {
 public:
  virtual ~Clock() = default;
  virtual Timestamp Now() const = 0;
};

// Monotonic clock that includes the time during which the instance is suspended.
class SteadyClock : public Clock {
 public:
  Timestamp Now() const override;
};

// Test clock that changes only through Advance().
class ManualClock : public Clock {
 public:
  Timestamp Now() const override { return this->now; }
  void Advance(Duration step) { this->now += step; }

 private:
  Timestamp now{};
};

}  // namespace amaranthlatch::utils
