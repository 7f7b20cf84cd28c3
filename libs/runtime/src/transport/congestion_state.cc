// Thresholds of congestion.

#include "transport/congestion_state.h"

namespace amaranthlatch::runtime::details {

namespace {

// Half of the time that a nested call has to live, 400 ms.
constexpr utils::Duration kCongestedWait = utils::Milliseconds(200);
constexpr utils::Duration kClearWait = utils::Milliseconds(50);
// A single large message passes in less.
constexpr utils::Duration kHoldTime = utils::Seconds(1);

}  // namespace

bool CongestionState::Update(utils::Duration wait, utils::Timestamp now) {
  const bool differs = this->congested ? wait <= kClearWait : wait >= kCongestedWait;
  if (!differs) {
    this->differs_since.reset();
    return false;
  }
  this->differs_since = this->differs_since.value_or(now);
  if (now - *this->differs_since < kHoldTime) {
    return false;
  }
  this->congested = !this->congested;
  this->differs_since.reset();
  return true;
}

}  // namespace amaranthlatch::runtime::details
