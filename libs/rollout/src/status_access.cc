// Order of operations, retries and timeouts.

#include "status_access.h"

#include <algorithm>

namespace amaranthlatch::rollout::details {

namespace {

using utils::Duration;
using utils::Milliseconds;
using utils::Timestamp;

constexpr Duration kInitialRetryDelay = Milliseconds(100);
constexpr Duration kMaxRetryDelay = Milliseconds(800);
constexpr std::uint32_t kMaxDoublings = 3;
// The host reports every result; a lost one must not end the rollout.
constexpr Duration kOverdue = utils::Seconds(3);

}  // namespace

void StatusAccess::OnReadStarted(Timestamp now) {
  this->state = State::kReading;
  this->started = now;
  this->read_started = now;
}

void StatusAccess::OnWriteStarted(std::uint64_t expected_end, Timestamp now) {
  this->state = State::kWriting;
  this->started = now;
  this->last_write_end = expected_end;
}

StatusAccess::Result StatusAccess::OnRead() {
  if (this->state != State::kReading) {
    return Result::kIgnored;
  }
  this->state = State::kIdle;
  this->failures = 0;
  return Result::kDone;
}

StatusAccess::Result StatusAccess::OnReadFailed(Timestamp now) {
  if (this->state != State::kReading) {
    return Result::kIgnored;
  }
  this->OnFailed(now);
  return Result::kRetry;
}

StatusAccess::Result StatusAccess::OnWritten(const StatusWritten& written, Timestamp now) {
  if (this->state != State::kWriting) {
    return Result::kIgnored;
  }
  this->state = State::kIdle;
  if (written.outcome == WriteOutcome::kWritten) {
    return Result::kDone;
  }
  if (written.outcome == WriteOutcome::kUnknown) {
    this->OnFailed(now);
  }
  return Result::kRetry;
}

bool StatusAccess::Poll(Timestamp now) {
  if (this->state == State::kIdle || now - this->started < kOverdue) {
    return false;
  }
  this->OnFailed(now);
  return true;
}

Timestamp StatusAccess::NextWake() const {
  return this->state == State::kIdle ? this->next_try : this->started + kOverdue;
}

void StatusAccess::OnFailed(Timestamp now) {
  this->state = State::kIdle;
  const Duration delay =
      std::min(kInitialRetryDelay * (1 << std::min(this->failures, kMaxDoublings)), kMaxRetryDelay);
  ++this->failures;
  this->next_try = now + delay;
}

}  // namespace amaranthlatch::rollout::details
