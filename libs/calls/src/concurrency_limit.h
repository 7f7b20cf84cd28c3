// How many calls a gate keeps in flight: the document's slots, adapted to the backend server.

#pragma once

#include <cstdint>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls::details {

// Additive increase and multiplicative decrease between 1 and the slots.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(bool adaptive) : adaptive(adaptive) {}

  // The lower of the document's slots and those the backend server announced.
  void SetSlots(std::uint32_t value);
  std::uint32_t Get() const;

  // The backend server completed a call; `busy` if all slots of the limit were in use.
  void OnCompleted(utils::Duration latency, bool busy, utils::Timestamp now);
  // The backend server shed a call. True if the limit fell.
  bool OnShed(utils::Timestamp now);

  // Moving average of the time that a call takes at the backend server; 0 before the first.
  utils::Duration MeanLatency() const;

 private:
  bool Decrease(double floor, utils::Timestamp now);
  void UpdateBaseline(utils::Timestamp now);

  bool adaptive;
  std::uint32_t slots = 0;
  double limit = 0.0;
  double mean_us = 0.0;
  // Lowest means of the window under way and of the one before; 0 for none.
  double window_us = 0.0;
  double last_window_us = 0.0;
  utils::Timestamp window_end{};
  utils::Timestamp decreased_at{};
};

}  // namespace amaranthlatch::calls::details
