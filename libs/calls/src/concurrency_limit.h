// Adaptive concurrency limit for calls to the backend server, bounded by the configured slots.

#pragma once

#include <cstdint>
#include <optional>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls::details {

// Additive increase and multiplicative decrease between 1 and the number of slots. A shed call
// decreases the limit immediately, and further ones do as long as that lowers the share of shed
// calls, or costs no answers; otherwise the backend server sheds for another reason than its load,
// and the limit returns to the slots. Elevated latency only starts a trial of a lower limit,
// because calls of unequal duration raise the latency too: the lower limit is kept only if
// throughput stays about the same. A trial of a higher limit is kept only if throughput rises.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(bool adaptive) : adaptive(adaptive) {}

  // Sets the upper bound: the lower of the configured slots and those the backend server announced.
  // A changed bound resets the limit to it.
  void SetSlots(std::uint32_t value);
  std::uint32_t Get() const;

  // Records a completed call. `saturated` tells whether all slots of the limit were in use.
  void OnCompleted(utils::Duration latency, bool saturated, utils::Timestamp now);
  // Records that the backend server shed a call. Returns true if the limit was decreased for it.
  bool OnShed(utils::Timestamp now);

  // Returns the moving average of the call latency at the backend server; 0 before the first call.
  utils::Duration MeanLatency() const;

 private:
  enum class Trial : std::uint8_t { kNone, kDecrease, kIncrease };

  void UpdateMean(utils::Duration latency, utils::Timestamp now);
  bool IsLatencyElevated() const;
  // Ends a measuring period with a throughput of `rate` calls per second: evaluates the trial in
  // progress and starts the next one.
  void EndPeriod(double rate, bool saturated, utils::Timestamp now);
  // Returns true if the trial's limit is kept; otherwise restores the previous limit.
  bool EvaluateTrial(double rate, utils::Timestamp now);
  void StartTrial(double rate, utils::Timestamp now);
  void StartPeriod(utils::Timestamp now);
  // Ends a step of the decrease if it was long enough, and decides on the next one. Returns true if
  // the limit was decreased.
  bool EndShedStep(utils::Timestamp now);
  void DecreaseForShed(utils::Timestamp now);
  void RestoreSlots(utils::Timestamp now);
  void SetLimit(double value);

  bool adaptive;
  std::uint32_t slots = 0;
  double limit = 0.0;

  double mean_us = 0.0;
  // Lowest mean latencies of the current and the previous window; 0 if there is none.
  double window_min_us = 0.0;
  double previous_window_min_us = 0.0;
  utils::Timestamp window_end{};

  // The current measuring period.
  utils::Timestamp period_start{};
  std::uint32_t completed = 0;
  std::uint32_t completed_saturated = 0;

  // The limit and the throughput in calls per second before the current trial.
  Trial trial = Trial::kNone;
  double limit_before = 0.0;
  double rate_before = 0.0;
  // Delays before the next trial of each kind, doubled by each failed trial of that kind.
  utils::Duration decrease_backoff{};
  utils::Duration increase_backoff{};
  utils::Timestamp next_decrease_trial{};
  utils::Timestamp next_increase_trial{};
  utils::Timestamp shed_at{};

  // The decrease for shed calls in progress.
  bool is_shedding = false;
  utils::Timestamp step_start{};
  std::uint32_t step_shed = 0;
  std::uint32_t step_answered = 0;
  // What further steps are compared with: share of shed calls and answers per second; unset in the
  // first step.
  std::optional<double> shed_share;
  double answer_rate = 0.0;
  // Delay before the next decrease, doubled by each one that had no effect.
  utils::Duration shed_backoff{};
  utils::Timestamp next_shed_decrease{};
};

}  // namespace amaranthlatch::calls::details
