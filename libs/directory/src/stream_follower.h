// When one stream of the register is read, and from where.

#pragma once

#include <optional>

#include "amaranthlatch/directory/effect.h"
#include "amaranthlatch/directory/event.h"
#include "amaranthlatch/directory/options.h"
#include "amaranthlatch/utils/random.h"

namespace amaranthlatch::directory::details {

class StreamFollower {
 public:
  StreamFollower(Stream stream, utils::Duration pause, const Options& options)
      : stream(stream), pause(pause), options(options) {}

  // The read that is due, if any.
  std::optional<ReadStream> Poll(utils::Timestamp now);
  void OnRead(Position next, utils::Timestamp now);
  // Gives up a read that waits for changes, and lists the stream at once. Returns false without
  // one: a listing has a short limit of its own.
  bool Abandon(utils::Timestamp now);
  void OnFailed(bool truncated, utils::Random& random, utils::Timestamp now);

  // None while a read is under way.
  std::optional<utils::Timestamp> NextWake() const;
  // Whether the stream was listed at least once.
  bool IsListed() const { return this->listed; }
  bool IsFailing() const { return this->failures > 0; }

 private:
  const Stream stream;
  const utils::Duration pause;
  const Options& options;
  // Where the next read begins; none lists the stream.
  std::optional<Position> position;
  bool listed = false;
  bool reading = false;
  std::uint32_t failures = 0;
  utils::Timestamp next_read{};
};

// Delay before attempt `failures` + 1: doubles up to the longest, half of it is jitter.
utils::Duration RetryDelay(const Options& options, std::uint32_t failures, utils::Random& random);

}  // namespace amaranthlatch::directory::details
