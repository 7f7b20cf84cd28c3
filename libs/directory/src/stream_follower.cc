// Read delays, and backoff of failed reads.

#include "stream_follower.h"

#include <algorithm>

namespace amaranthlatch::directory::details {

namespace {
// Keeps the shift in RetryDelay in range.
constexpr std::uint32_t kMaxDoublings = 16;
}  // namespace

utils::Duration RetryDelay(const Options& options, std::uint32_t consecutive_failures,
                           utils::Random& random) {
  const std::uint32_t doublings =
      std::min(consecutive_failures, kMaxDoublings) - std::min(consecutive_failures, 1U);
  const utils::Duration max_delay =
      std::min(options.max_retry_delay, options.initial_retry_delay * (1U << doublings));
  return max_delay / 2 + random.Jitter(max_delay / 2);
}

std::optional<ReadStream> StreamFollower::Poll(utils::Timestamp now, utils::Duration wait) {
  if (this->read_in_flight || now < this->next_read_time) {
    return std::nullopt;
  }
  this->read_in_flight = true;
  this->read_start = now;
  this->read_end = this->next_position ? now + wait : now;
  this->response_deadline = now + wait + this->options.read_response_tolerance;
  return ReadStream{this->stream, this->next_position,
                    this->next_position ? wait : utils::Duration{}};
}

void StreamFollower::OnReadSucceeded(Position next, utils::Timestamp now) {
  // The read after a listing starts at once, so that changes made since are not delayed.
  const bool was_listing = !this->next_position;
  // A read without changes leaves nothing to batch.
  const bool is_unchanged = this->next_position == next;
  this->read_in_flight = false;
  this->listed = true;
  this->current = true;
  this->consecutive_failures = 0;
  this->next_position = next;
  this->next_read_time = was_listing || is_unchanged ? now : now + this->read_delay;
}

void StreamFollower::OnReadFailed(bool truncated, utils::Random& random, utils::Timestamp now) {
  this->read_in_flight = false;
  ++this->consecutive_failures;
  if (truncated) {
    this->next_position.reset();
  }
  this->next_read_time = now + RetryDelay(this->options, this->consecutive_failures, random);
}

bool StreamFollower::AbandonRead(utils::Timestamp now) {
  if (!this->read_in_flight || !this->next_position) {
    return false;
  }
  this->read_in_flight = false;
  ++this->consecutive_failures;
  this->next_position.reset();
  this->next_read_time = now;
  return true;
}

void StreamFollower::RestartRead(utils::Timestamp now) {
  if (this->WaitingSince()) {
    this->read_in_flight = false;
    this->next_read_time = now;
  }
}

void StreamFollower::ListAgain(utils::Timestamp now) {
  this->read_in_flight = false;
  this->next_position.reset();
  this->next_read_time = now;
}

void StreamFollower::ExtendRead(utils::Timestamp now, utils::Duration tolerance) {
  this->response_deadline = now + tolerance;
}

void StreamFollower::Resume(utils::Timestamp now) {
  this->read_in_flight = false;
  this->current = false;
  this->consecutive_failures = 0;
  this->next_position.reset();
  this->next_read_time = now;
}

std::optional<utils::Timestamp> StreamFollower::WaitingSince() const {
  if (!this->read_in_flight || !this->next_position) {
    return std::nullopt;
  }
  return this->read_start;
}

std::optional<utils::Timestamp> StreamFollower::ResponseDeadline() const {
  return this->WaitingSince() ? std::optional(this->response_deadline) : std::nullopt;
}

utils::Timestamp StreamFollower::AnsweredAt(Position next, utils::Timestamp now) const {
  // A response with changes may have been given at any time of the wait.
  return !this->next_position || this->next_position == next ? std::min(now, this->read_end) : now;
}

std::optional<utils::Timestamp> StreamFollower::NextWake() const {
  if (this->read_in_flight) {
    return std::nullopt;
  }
  return this->next_read_time;
}

}  // namespace amaranthlatch::directory::details
