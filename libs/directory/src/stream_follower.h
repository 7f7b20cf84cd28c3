// Schedules the reads of one register stream and tracks the read position.

#pragma once

#include <optional>

#include "amaranthlatch/directory/effect.h"
#include "amaranthlatch/directory/event.h"
#include "amaranthlatch/directory/options.h"
#include "amaranthlatch/utils/random.h"

namespace amaranthlatch::directory::details {

// Lists a stream once, then follows it from the end of the listing. Lists it again after truncation
// or an abandoned read.
class StreamFollower {
 public:
  StreamFollower(Stream stream, utils::Duration read_delay, const Options& options)
      : stream(stream), read_delay(read_delay), options(options) {}

  // Returns the read to start now, if one is due. `wait`: how long the register may hold it open.
  std::optional<ReadStream> Poll(utils::Timestamp now, utils::Duration wait);
  void OnReadSucceeded(Position next, utils::Timestamp now);
  // Abandons a read that waits for changes and makes a listing due at once. Returns false if no
  // such read is in flight; a listing is not abandoned because it has its own short timeout.
  bool AbandonRead(utils::Timestamp now);
  // Makes a read that waits for changes due again at once, from the same position.
  void RestartRead(utils::Timestamp now);
  // Makes a listing due at once, in place of the read in flight. Success and failure of earlier
  // reads still count.
  void ListAgain(utils::Timestamp now);
  // Awaits the response of the read in flight for another `tolerance`.
  void ExtendRead(utils::Timestamp now, utils::Duration tolerance);
  // Makes a listing due at once, in place of the read in flight, after a time without reads.
  void Resume(utils::Timestamp now);
  void OnReadFailed(bool truncated, utils::Random& random, utils::Timestamp now);

  // When the read that waits for changes was started; none if no such read is in flight.
  std::optional<utils::Timestamp> WaitingSince() const;
  // When the response of the read that waits for changes is overdue; none without such a read.
  std::optional<utils::Timestamp> ResponseDeadline() const;
  // The time at which the register held no more than a successful response that arrives `now` and
  // ends at `next`.
  utils::Timestamp AnsweredAt(Position next, utils::Timestamp now) const;
  // When the register ends the read in flight if nothing changes.
  utils::Timestamp ReadEnd() const { return this->read_end; }
  utils::Timestamp ReadStart() const { return this->read_start; }
  // When the next read is due; none while a read is in flight.
  std::optional<utils::Timestamp> NextWake() const;
  // Whether the read in flight, or the next one, is a listing.
  bool IsListing() const { return !this->next_position; }
  // Whether at least one listing has succeeded.
  bool IsListed() const { return this->listed; }
  // Whether a read has succeeded since the follower was created or resumed.
  bool IsCurrent() const { return this->current; }
  bool IsFailing() const { return this->consecutive_failures > 0; }

 private:
  const Stream stream;
  const utils::Duration read_delay;
  const Options& options;
  // Position at which the next read starts; without one, the next read is a listing.
  std::optional<Position> next_position;
  bool listed = false;
  bool current = false;
  bool read_in_flight = false;
  // Start of the latest read.
  utils::Timestamp read_start{};
  utils::Timestamp read_end{};
  utils::Timestamp response_deadline{};
  std::uint32_t consecutive_failures = 0;
  utils::Timestamp next_read_time{};
};

// Returns the delay before the next attempt: it doubles with every consecutive failure up to
// `max_retry_delay`, and half of it is random jitter.
utils::Duration RetryDelay(const Options& options, std::uint32_t consecutive_failures,
                           utils::Random& random);

}  // namespace amaranthlatch::directory::details
