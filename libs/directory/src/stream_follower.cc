// Pauses and repetitions of reads.

#include "stream_follower.h"

#include <algorithm>

namespace amaranthlatch::directory::details {

namespace {
constexpr std::uint32_t kMaxDoublings = 16;
}  // namespace

utils::Duration RetryDelay(const Options& options, std::uint32_t failures, utils::Random& random) {
  const std::uint32_t doublings = std::min(failures, kMaxDoublings) - std::min(failures, 1U);
  const utils::Duration longest =
      std::min(options.max_retry_delay, options.initial_retry_delay * (1U << doublings));
  return longest / 2 + random.Jitter(longest / 2);
}

std::optional<ReadStream> StreamFollower::Poll(utils::Timestamp now) {
  if (this->reading || now < this->next_read) {
    return std::nullopt;
  }
  this->reading = true;
  return ReadStream{this->stream, this->position,
                    this->position ? this->options.max_read_wait : utils::Duration{}};
}

void StreamFollower::OnRead(Position next, utils::Timestamp now) {
  // A listing is followed at once, so that a change between the two is not waited for.
  const bool was_listing = !this->position;
  this->reading = false;
  this->listed = true;
  this->failures = 0;
  this->position = next;
  this->next_read = was_listing ? now : now + this->pause;
}

void StreamFollower::OnFailed(bool truncated, utils::Random& random, utils::Timestamp now) {
  this->reading = false;
  ++this->failures;
  if (truncated) {
    this->position.reset();
  }
  this->next_read = now + RetryDelay(this->options, this->failures, random);
}

bool StreamFollower::Abandon(utils::Timestamp now) {
  if (!this->reading || !this->position) {
    return false;
  }
  this->reading = false;
  ++this->failures;
  this->position.reset();
  this->next_read = now;
  return true;
}

std::optional<utils::Timestamp> StreamFollower::NextWake() const {
  if (this->reading) {
    return std::nullopt;
  }
  return this->next_read;
}

}  // namespace amaranthlatch::directory::details
