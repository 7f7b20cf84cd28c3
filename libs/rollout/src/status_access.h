// Serializes the reads and conditional writes of one status record, and identifies own claims.

#pragma once

#include <cstdint>

#include "amaranthlatch/rollout/event.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::rollout::details {

class StatusAccess {
 public:
  enum class Result : std::uint8_t {
    // Not the result of the operation in flight.
    kIgnored,
    kDone,
    // Read again: a conflict, a failure or an unknown outcome.
    kRetry,
  };

  // Whether a read may be started now.
  bool IsFree(utils::Timestamp now) const {
    return this->state == State::kIdle && now >= this->next_try;
  }
  bool IsIdle() const { return this->state == State::kIdle; }
  void OnReadStarted(utils::Timestamp now);
  void OnWriteStarted(std::uint64_t expected_end, utils::Timestamp now);

  Result OnRead();
  Result OnReadFailed(utils::Timestamp now);
  Result OnWritten(const StatusWritten& written, utils::Timestamp now);
  // Gives up an operation whose result is overdue. Returns whether it did.
  bool Poll(utils::Timestamp now);

  // The next read is not due before this.
  void Postpone(utils::Timestamp until) { this->next_try = until; }

  // When the last read was started. What it returned was true then or later.
  utils::Timestamp ReadStartedAt() const { return this->read_started; }
  // When the last operation was started.
  utils::Timestamp StartedAt() const { return this->started; }
  // The end of the stream that the last write expected. A read that shows the own record as the
  // newest one has its position here: a write is started only after a read that does not show one,
  // and earlier writes can no longer succeed once a later end was read.
  std::uint64_t LastWriteEnd() const { return this->last_write_end; }
  // Whether the last operation failed.
  bool IsFailing() const { return this->failures > 0; }

  // When Poll or IsFree may change their result.
  utils::Timestamp NextWake() const;

 private:
  enum class State : std::uint8_t { kIdle, kReading, kWriting };

  void OnFailed(utils::Timestamp now);

  State state = State::kIdle;
  utils::Timestamp started{};
  utils::Timestamp read_started{};
  utils::Timestamp next_try{};
  std::uint32_t failures = 0;
  std::uint64_t last_write_end = 0;
};

}  // namespace amaranthlatch::rollout::details
