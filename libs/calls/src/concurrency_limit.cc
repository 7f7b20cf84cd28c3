// Multiplicative decrease on shed calls, and trials based on latency and throughput.

#include "concurrency_limit.h"

#include <algorithm>

namespace amaranthlatch::calls::details {

namespace {
using utils::Duration;
using utils::Timestamp;

constexpr double kDecreaseFactor = 0.8;
// One overload sheds many calls at about the same time; only the first decreases the limit.
constexpr Duration kMinShedInterval = utils::Milliseconds(100);
// A step of the decrease must be long enough to tell a change from noise: of 30 calls that are shed
// with a probability of a half, a third to two thirds are.
constexpr std::uint32_t kMinStepCalls = 30;
constexpr double kMinStepAnswers = 8.0;
constexpr Duration kMaxStep = utils::Milliseconds(400);
// Change that a step must make to the share of shed calls, or to the rate of answers, to count.
// With 0.8 for the share, noise kept the limit of a server with 6 slots low for seconds.
constexpr double kMaxShareRatio = 0.6;
constexpr double kMinAnswerRatio = 0.75;
constexpr Duration kMinShedBackoff = utils::Seconds(2);
// Latency is elevated if the mean exceeds the lowest recent mean by this ratio and the slack.
constexpr double kLatencyRiseRatio = 1.5;
constexpr double kLatencySlackUs = 2'000.0;
constexpr double kLatencySmoothing = 0.1;
constexpr Duration kLatencyWindow = utils::Seconds(10);

// A period must be long enough to distinguish a 20% drop in throughput from noise when call
// durations vary widely: 600 calls of 5 ms, a tenth of them taking 50 ms, give a rate within 6%.
constexpr Duration kMinPeriod = utils::Milliseconds(500);
constexpr std::uint32_t kMinCompleted = 100;
constexpr Duration kMaxPeriod = utils::Seconds(2);
constexpr double kSaturatedShare = 0.9;

constexpr double kTrialDecreaseFactor = 0.7;
constexpr double kMinThroughputRatio = 0.95;
// Throughput gain required of a higher limit, as a share of the relative increase of the limit.
constexpr double kMinGainShare = 0.25;
constexpr double kTrialIncreaseShare = 0.1;
constexpr Duration kMinBackoff = utils::Seconds(1);
constexpr Duration kMaxDecreaseBackoff = utils::Seconds(60);
constexpr Duration kMaxIncreaseBackoff = utils::Seconds(8);
}  // namespace

void ConcurrencyLimit::SetSlots(std::uint32_t value) {
  if (value == this->slots) {
    return;
  }
  this->slots = value;
  this->limit = value;
  this->trial = Trial::kNone;
}

std::uint32_t ConcurrencyLimit::Get() const {
  if (this->slots == 0) {
    return 0;
  }
  return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(this->limit), 1, this->slots);
}

void ConcurrencyLimit::SetLimit(double value) {
  this->limit = std::clamp<double>(value, 1.0, std::max<std::uint32_t>(1, this->slots));
}

void ConcurrencyLimit::UpdateMean(Duration latency, Timestamp now) {
  const auto sample = static_cast<double>(latency.count());
  this->mean_us =
      this->mean_us == 0.0 ? sample : this->mean_us + kLatencySmoothing * (sample - this->mean_us);
  if (now >= this->window_end) {
    this->previous_window_min_us = this->window_min_us;
    this->window_min_us = this->mean_us;
    this->window_end = now + kLatencyWindow;
  }
  this->window_min_us = std::min(this->window_min_us, this->mean_us);
}

bool ConcurrencyLimit::IsLatencyElevated() const {
  const double lowest = this->previous_window_min_us == 0.0
                            ? this->window_min_us
                            : std::min(this->window_min_us, this->previous_window_min_us);
  return this->mean_us > lowest * kLatencyRiseRatio + kLatencySlackUs;
}

void ConcurrencyLimit::StartPeriod(Timestamp now) {
  this->period_start = now;
  this->completed = 0;
  this->completed_saturated = 0;
}

void ConcurrencyLimit::OnCompleted(Duration latency, bool saturated, Timestamp now) {
  this->UpdateMean(latency, now);
  if (!this->adaptive) {
    return;
  }
  ++this->step_answered;
  this->EndShedStep(now);
  ++this->completed;
  this->completed_saturated += saturated ? 1 : 0;
  const Duration length = now - this->period_start;
  if (length < kMinPeriod || (this->completed < kMinCompleted && length < kMaxPeriod)) {
    return;
  }
  const double seconds = std::chrono::duration<double>(length).count();
  const double rate = this->completed / seconds;
  const bool all_saturated = this->completed_saturated >= kSaturatedShare * this->completed;
  this->EndPeriod(rate, all_saturated && length < kMaxPeriod * 2, now);
  this->StartPeriod(now);
}

void ConcurrencyLimit::EndPeriod(double rate, bool saturated, Timestamp now) {
  if (!saturated) {
    // An unsaturated period gives no evidence for a low limit, so the limit slowly recovers.
    this->trial = Trial::kNone;
    if (now - this->shed_at >= kMinBackoff) {
      this->SetLimit(this->limit + 1.0);
    }
    return;
  }
  if (this->trial != Trial::kNone) {
    const bool accepted = this->EvaluateTrial(rate, now);
    this->trial = Trial::kNone;
    if (!accepted) {
      return;
    }
  }
  this->StartTrial(rate, now);
}

bool ConcurrencyLimit::EvaluateTrial(double rate, Timestamp now) {
  const bool decreasing = this->trial == Trial::kDecrease;
  const double gain = this->limit / this->limit_before - 1.0;
  const double min_ratio = decreasing ? kMinThroughputRatio : 1.0 + kMinGainShare * gain;
  Duration& backoff = decreasing ? this->decrease_backoff : this->increase_backoff;
  const bool accepted = rate >= this->rate_before * min_ratio;
  if (accepted) {
    backoff = Duration::zero();
  } else {
    this->SetLimit(this->limit_before);
    backoff = std::clamp(backoff * 2, kMinBackoff,
                         decreasing ? kMaxDecreaseBackoff : kMaxIncreaseBackoff);
  }
  (decreasing ? this->next_decrease_trial : this->next_increase_trial) = now + backoff;
  return accepted;
}

void ConcurrencyLimit::StartTrial(double rate, Timestamp now) {
  this->limit_before = this->limit;
  this->rate_before = rate;
  if (this->IsLatencyElevated() && this->limit > 1.0 && now >= this->next_decrease_trial) {
    this->trial = Trial::kDecrease;
    this->SetLimit(this->limit * kTrialDecreaseFactor);
  } else if (this->limit < this->slots && now >= this->next_increase_trial) {
    this->trial = Trial::kIncrease;
    this->SetLimit(this->limit + std::max(1.0, this->limit * kTrialIncreaseShare));
  }
}

bool ConcurrencyLimit::OnShed(Timestamp now) {
  if (!this->adaptive) {
    return false;
  }
  this->shed_at = now;
  ++this->step_shed;
  if (this->is_shedding) {
    return this->EndShedStep(now);
  }
  if (this->limit <= 1.0 || now < this->next_shed_decrease) {
    return false;
  }
  this->is_shedding = true;
  this->shed_share.reset();
  this->DecreaseForShed(now);
  return true;
}

bool ConcurrencyLimit::EndShedStep(Timestamp now) {
  const Duration length = now - this->step_start;
  const std::uint32_t calls = this->step_shed + this->step_answered;
  if (!this->is_shedding || length < kMinShedInterval ||
      (calls < kMinStepCalls && length < kMaxStep)) {
    return false;
  }
  if (this->step_shed == 0) {
    // The limit is low enough; another refusal starts anew.
    this->is_shedding = false;
    return false;
  }
  const double share = static_cast<double>(this->step_shed) / calls;
  const double seconds = std::chrono::duration<double>(length).count();
  const double rate = this->step_answered / seconds;
  // Too few answers for a rate leave the decision to the share at the lowest limit.
  const bool is_slower =
      this->answer_rate * seconds >= kMinStepAnswers && rate < this->answer_rate * kMinAnswerRatio;
  const bool is_first = !this->shed_share.has_value();
  if (is_first || share < *this->shed_share * kMaxShareRatio) {
    this->shed_share = share;
    this->answer_rate = rate;
    this->shed_backoff = is_first ? this->shed_backoff : Duration::zero();
  } else if (this->limit <= 1.0 || is_slower) {
    this->RestoreSlots(now);
    return false;
  }
  const bool is_lower = this->limit > 1.0;
  this->DecreaseForShed(now);
  return is_lower;
}

void ConcurrencyLimit::DecreaseForShed(Timestamp now) {
  this->trial = Trial::kNone;
  this->SetLimit(this->limit * kDecreaseFactor);
  this->StartPeriod(now);
  this->step_start = now;
  this->step_shed = 0;
  this->step_answered = 0;
}

void ConcurrencyLimit::RestoreSlots(Timestamp now) {
  this->is_shedding = false;
  this->trial = Trial::kNone;
  this->SetLimit(this->slots);
  this->StartPeriod(now);
  this->shed_backoff = std::clamp(this->shed_backoff * 2, kMinShedBackoff, kMaxDecreaseBackoff);
  this->next_shed_decrease = now + this->shed_backoff;
}

utils::Duration ConcurrencyLimit::MeanLatency() const {
  return Duration(static_cast<Duration::rep>(this->mean_us));
}

}  // namespace amaranthlatch::calls::details
