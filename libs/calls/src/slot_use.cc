// Running calls integrated over time, with exponential decay.

#include "slot_use.h"

#include <algorithm>
#include <cmath>

namespace amaranthlatch::calls::details {

namespace {
// Long enough to hold several calls of each slot, short enough to follow a burst: with 500 ms,
// calls queued as a burst began were refused late, after the more urgent ones had overtaken them.
constexpr double kTimeConstantUs = 200'000.0;
// Time without calls that counts before the first call, so that few calls are no evidence.
constexpr double kIdleTimeUs = 20'000.0;

double Decay(utils::Duration age) {
  return std::exp(-static_cast<double>(age.count()) / kTimeConstantUs);
}
}  // namespace

SlotUse::Sums SlotUse::UsedAt(utils::Timestamp now) const {
  const double decay = Decay(now - this->updated_at);
  Sums used = this->used_us;
  for (std::size_t i = 0; i < used.size(); ++i) {
    used.at(i) = used.at(i) * decay + this->running.at(i) * kTimeConstantUs * (1.0 - decay);
  }
  return used;
}

void SlotUse::Advance(utils::Timestamp now) {
  if (this->updated_at == utils::Timestamp{}) {
    this->first_at = now;
  }
  this->used_us = this->UsedAt(now);
  this->updated_at = now;
}

void SlotUse::OnStarted(document::Priority priority, utils::Timestamp now) {
  this->Advance(now);
  ++this->running.at(static_cast<std::size_t>(priority));
}

void SlotUse::OnEnded(document::Priority priority, utils::Timestamp now) {
  this->Advance(now);
  --this->running.at(static_cast<std::size_t>(priority));
}

double SlotUse::MoreUrgentShare(document::Priority priority, std::uint32_t slots,
                                utils::Timestamp now) const {
  const Sums used = this->UsedAt(now);
  double sum = 0.0;
  for (std::size_t i = 0; i < static_cast<std::size_t>(priority); ++i) {
    sum += used.at(i);
  }
  const double decay = Decay(now - this->first_at);
  const double time_us = kTimeConstantUs * (1.0 - decay) + kIdleTimeUs * decay;
  return std::min(1.0, sum / (time_us * std::max<std::uint32_t>(1, slots)));
}

}  // namespace amaranthlatch::calls::details
