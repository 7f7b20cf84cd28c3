// AIMD on refusals and latency of the backend server.

#include "concurrency_limit.h"

#include <algorithm>

namespace amaranthlatch::calls::details {

namespace {
constexpr double kDecreaseFactor = 0.8;
// One decrease for all the refusals that one overload causes at about the same time.
constexpr utils::Duration kDecreaseInterval = utils::Milliseconds(100);
// A mean this much above the lowest of the last windows means that calls wait in the backend
// server. Slower kinds of calls raise it as well, hence the floor below.
constexpr double kLatencyRise = 3.0;
constexpr double kLatencySlackUs = 2'000.0;
// Latency alone lowers the limit to no less than this share of the slots.
constexpr double kLatencyFloor = 0.25;
constexpr double kMeanWeight = 0.1;
constexpr utils::Duration kWindow = utils::Seconds(10);
}  // namespace

void ConcurrencyLimit::SetSlots(std::uint32_t value) {
  if (value == this->slots) {
    return;
  }
  this->slots = value;
  this->limit = value;
}

std::uint32_t ConcurrencyLimit::Get() const {
  if (this->slots == 0) {
    return 0;
  }
  return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(this->limit), 1, this->slots);
}

void ConcurrencyLimit::UpdateBaseline(utils::Timestamp now) {
  if (now >= this->window_end) {
    this->last_window_us = this->window_us;
    this->window_us = this->mean_us;
    this->window_end = now + kWindow;
  }
  this->window_us = std::min(this->window_us, this->mean_us);
}

void ConcurrencyLimit::OnCompleted(utils::Duration latency, bool busy, utils::Timestamp now) {
  const auto sample = static_cast<double>(latency.count());
  this->mean_us =
      this->mean_us == 0.0 ? sample : this->mean_us + kMeanWeight * (sample - this->mean_us);
  this->UpdateBaseline(now);
  if (!this->adaptive) {
    return;
  }
  const double baseline = this->last_window_us == 0.0
                              ? this->window_us
                              : std::min(this->window_us, this->last_window_us);
  if (this->mean_us > baseline * kLatencyRise + kLatencySlackUs) {
    this->Decrease(std::max(1.0, this->slots * kLatencyFloor), now);
  } else if (busy) {
    this->limit = std::min<double>(this->slots, this->limit + 1.0 / std::max(1.0, this->limit));
  }
}

bool ConcurrencyLimit::OnShed(utils::Timestamp now) {
  return this->adaptive && this->Decrease(1.0, now);
}

bool ConcurrencyLimit::Decrease(double floor, utils::Timestamp now) {
  if (now - this->decreased_at < kDecreaseInterval || this->limit <= floor) {
    return false;
  }
  this->decreased_at = now;
  this->limit = std::max(floor, this->limit * kDecreaseFactor);
  return true;
}

utils::Duration ConcurrencyLimit::MeanLatency() const {
  return utils::Duration(static_cast<utils::Duration::rep>(this->mean_us));
}

}  // namespace amaranthlatch::calls::details
