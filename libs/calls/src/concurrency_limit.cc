// AIMD on refusals, and trials on latency and throughput of the backend server.

#include "concurrency_limit.h"

#include <algorithm>

namespace amaranthlatch::calls::details {

namespace {
using utils::Duration;
using utils::Timestamp;

constexpr double kDecreaseFactor = 0.8;
// One decrease for all the refusals that one overload causes at about the same time.
constexpr Duration kShedInterval = utils::Milliseconds(100);
// A mean this much above the lowest of the last windows starts a trial.
constexpr double kLatencyRise = 1.5;
constexpr double kLatencySlackUs = 2'000.0;
constexpr double kMeanWeight = 0.1;
constexpr Duration kWindow = utils::Seconds(10);

// A period is long enough to tell a fifth less throughput from chance with calls of very unequal
// length: 600 calls of 5 ms, a tenth of them of 50 ms, give a rate within 6%.
constexpr Duration kMinPeriod = utils::Milliseconds(500);
constexpr std::uint32_t kMinCompleted = 100;
constexpr Duration kMaxPeriod = utils::Seconds(2);
constexpr double kBusyShare = 0.9;

constexpr double kTrialFactor = 0.7;
constexpr double kKeptRate = 0.95;
// Share of a proportional gain that a higher limit must show.
constexpr double kGainShare = 0.25;
constexpr double kIncreaseShare = 0.1;
constexpr Duration kShortestWait = utils::Seconds(1);
constexpr Duration kLongestLowerWait = utils::Seconds(60);
constexpr Duration kLongestHigherWait = utils::Seconds(8);
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

void ConcurrencyLimit::Set(double value) {
  this->limit = std::clamp<double>(value, 1.0, std::max<std::uint32_t>(1, this->slots));
}

void ConcurrencyLimit::UpdateMean(Duration latency, Timestamp now) {
  const auto sample = static_cast<double>(latency.count());
  this->mean_us =
      this->mean_us == 0.0 ? sample : this->mean_us + kMeanWeight * (sample - this->mean_us);
  if (now >= this->window_end) {
    this->last_window_us = this->window_us;
    this->window_us = this->mean_us;
    this->window_end = now + kWindow;
  }
  this->window_us = std::min(this->window_us, this->mean_us);
}

bool ConcurrencyLimit::IsLatencyRaised() const {
  const double lowest = this->last_window_us == 0.0
                            ? this->window_us
                            : std::min(this->window_us, this->last_window_us);
  return this->mean_us > lowest * kLatencyRise + kLatencySlackUs;
}

void ConcurrencyLimit::StartPeriod(Timestamp now) {
  this->period_start = now;
  this->completed = 0;
  this->completed_busy = 0;
}

void ConcurrencyLimit::OnCompleted(Duration latency, bool busy, Timestamp now) {
  this->UpdateMean(latency, now);
  if (!this->adaptive) {
    return;
  }
  ++this->completed;
  this->completed_busy += busy ? 1 : 0;
  const Duration length = now - this->period_start;
  if (length < kMinPeriod || (this->completed < kMinCompleted && length < kMaxPeriod)) {
    return;
  }
  const double seconds = std::chrono::duration<double>(length).count();
  const double rate = this->completed / seconds;
  const bool all_busy = this->completed_busy >= kBusyShare * this->completed;
  this->EndPeriod(rate, all_busy && length < kMaxPeriod * 2, now);
  this->StartPeriod(now);
}

void ConcurrencyLimit::EndPeriod(double rate, bool busy, Timestamp now) {
  if (!busy) {
    // A limit that is not reached tells nothing. A low one is slowly forgotten.
    this->trial = Trial::kNone;
    if (now - this->shed_at >= kShortestWait) {
      this->Set(this->limit + 1.0);
    }
    return;
  }
  if (this->trial != Trial::kNone) {
    const bool kept = this->JudgeTrial(rate, now);
    this->trial = Trial::kNone;
    if (!kept) {
      return;
    }
  }
  this->StartTrial(rate, now);
}

bool ConcurrencyLimit::JudgeTrial(double rate, Timestamp now) {
  const bool lower = this->trial == Trial::kLower;
  const double gain = this->limit / this->limit_before - 1.0;
  const double needed = lower ? kKeptRate : 1.0 + kGainShare * gain;
  Duration& wait = lower ? this->lower_wait : this->higher_wait;
  const bool kept = rate >= this->rate_before * needed;
  if (kept) {
    wait = Duration::zero();
  } else {
    this->Set(this->limit_before);
    wait = std::clamp(wait * 2, kShortestWait, lower ? kLongestLowerWait : kLongestHigherWait);
  }
  (lower ? this->next_lower : this->next_higher) = now + wait;
  return kept;
}

void ConcurrencyLimit::StartTrial(double rate, Timestamp now) {
  this->limit_before = this->limit;
  this->rate_before = rate;
  if (this->IsLatencyRaised() && this->limit > 1.0 && now >= this->next_lower) {
    this->trial = Trial::kLower;
    this->Set(this->limit * kTrialFactor);
  } else if (this->limit < this->slots && now >= this->next_higher) {
    this->trial = Trial::kHigher;
    this->Set(this->limit + std::max(1.0, this->limit * kIncreaseShare));
  }
}

bool ConcurrencyLimit::OnShed(Timestamp now) {
  if (!this->adaptive || this->limit <= 1.0 || now - this->shed_at < kShedInterval) {
    return false;
  }
  this->shed_at = now;
  this->trial = Trial::kNone;
  this->Set(this->limit * kDecreaseFactor);
  this->StartPeriod(now);
  return true;
}

utils::Duration ConcurrencyLimit::MeanLatency() const {
  return Duration(static_cast<Duration::rep>(this->mean_us));
}

}  // namespace amaranthlatch::calls::details
