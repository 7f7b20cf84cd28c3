// How many calls a gate keeps in flight: the document's slots, adapted to the backend server.

#pragma once

#include <cstdint>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls::details {

// Additive increase and multiplicative decrease between 1 and the slots. Refusals lower the limit
// at once. Rising latency only starts a trial: calls of unequal length raise it as well, so a lower
// limit stays only if the backend server completes about as many calls with it, and a higher one
// only if it completes more.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(bool adaptive) : adaptive(adaptive) {}

  // The lower of the document's slots and those the backend server announced.
  void SetSlots(std::uint32_t value);
  std::uint32_t Get() const;

  // The backend server completed a call; `busy` if all slots of the limit were in use.
  void OnCompleted(utils::Duration latency, bool saturated, utils::Timestamp now);
  // The backend server shed a call. True if the limit fell.
  bool OnShed(utils::Timestamp now);

  // Moving average of the time that a call takes at the backend server; 0 before the first.
  utils::Duration MeanLatency() const;

 private:
  enum class Trial : std::uint8_t { kNone, kDecrease, kIncrease };

  void UpdateMean(utils::Duration latency, utils::Timestamp now);
  bool IsLatencyElevated() const;
  // Ends a measuring period: judges the trial under way or starts one.
  void EndPeriod(double rate, bool saturated, utils::Timestamp now);
  // True if the limit of the trial stays.
  bool EvaluateTrial(double rate, utils::Timestamp now);
  void StartTrial(double rate, utils::Timestamp now);
  void StartPeriod(utils::Timestamp now);
  void SetLimit(double value);

  bool adaptive;
  std::uint32_t slots = 0;
  double limit = 0.0;

  double mean_us = 0.0;
  // Lowest means of the window under way and of the one before; 0 for none.
  double window_min_us = 0.0;
  double previous_window_min_us = 0.0;
  utils::Timestamp window_end{};

  // The measuring period under way.
  utils::Timestamp period_start{};
  std::uint32_t completed = 0;
  std::uint32_t completed_saturated = 0;

  // The limit and the completions a second before the trial under way.
  Trial trial = Trial::kNone;
  double limit_before = 0.0;
  double rate_before = 0.0;
  // Waits until the next trials; each failure doubles the one of its kind.
  utils::Duration decrease_backoff{};
  utils::Duration increase_backoff{};
  utils::Timestamp next_decrease_trial{};
  utils::Timestamp next_increase_trial{};
  utils::Timestamp shed_at{};
};

}  // namespace amaranthlatch::calls::details
