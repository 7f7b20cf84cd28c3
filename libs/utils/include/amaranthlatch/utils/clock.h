// The clock of the runtime. Daemons read a steady clock; tests pause and advance a manual one.

#pragma once

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::utils {

class Clock {
 public:
  virtual ~Clock() = default;
  virtual Timestamp Now() const = 0;
};

// Monotonic time that goes on while the instance is suspended.
class SteadyClock : public Clock {
 public:
  Timestamp Now() const override;
};

// Stands still until it is advanced.
class ManualClock : public Clock {
 public:
  Timestamp Now() const override { return this->now; }
  void Advance(Duration step) { this->now += step; }

 private:
  Timestamp now{};
};

}  // namespace amaranthlatch::utils
