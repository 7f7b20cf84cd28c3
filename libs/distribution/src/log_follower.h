// Reads the platform's log: one read at a time, with backoff while it does not answer.

#pragma once

#include <cstdint>
#include <optional>

#include "amaranthlatch/distribution/counters.h"
#include "amaranthlatch/distribution/options.h"
#include "amaranthlatch/utils/random.h"
#include "context.h"
#include "replica.h"

namespace amaranthlatch::distribution::details {

// Numbers the requests to the log across all parts of a reducer.
struct RequestIdGenerator {
  std::uint64_t last = 0;
  std::uint64_t Next() { return ++this->last; }
};

// Exponential, jittered delay between attempts that fail.
class Backoff {
 public:
  Backoff(const Options& options, utils::Random& random) : options(options), random(random) {}

  void Reset() { this->delay = {}; }
  utils::Duration Next();

 private:
  const Options& options;
  utils::Random& random;
  utils::Duration delay{};
};

class LogFollower {
 public:
  enum class Mode : std::uint8_t {
    kOff,
    // Only finds out where the head is.
    kHeadOnly,
    kFollow,
  };

  LogFollower(const Options& options, Replica& replica, RequestIdGenerator& request_ids,
              Counters& counters, utils::Random& random);

  // Sends the next read when it is due.
  void Run(const Context& context, Mode mode);
  std::optional<utils::Timestamp> NextWake() const;

  // Both return whether the request was this one's. `applied` is set where entries were applied.
  bool OnRead(const Context& context, const LogRead& read, bool& applied);
  bool OnFailed(const Context& context, const LogReadFailed& failure);

  // Whether the last read was answered and its records could be applied.
  bool Following() const { return this->healthy && !this->NeedsSnapshot(); }

  // Whether the log no longer keeps the next entry of this node.
  bool NeedsSnapshot() const { return this->first_kept > this->replica.HeldOffset() + 1; }

  // The head in the first answer after the start of this node.
  std::optional<Offset> FirstHead() const { return this->first_head; }
  Offset Head() const { return this->head; }
  Offset FirstKept() const { return this->first_kept; }

  // Whether no read since `since` was answered although one failed or took longer than `limit`.
  bool Unresponsive(utils::Timestamp now, utils::Duration limit) const;

  // Reads finished, answered or not.
  std::uint64_t FinishedReads() const { return this->finished_reads; }

  // Ends the wait for the head, so that the next read is answered at once.
  void ProbeImmediately() { this->probe = true; }

 private:
  struct Read {
    std::uint64_t request_id = 0;
    Offset from = 0;
    utils::Timestamp sent{};
    utils::Timestamp deadline{};
  };

  void Send(const Context& context, Offset from, std::uint32_t limit, utils::Duration wait);
  bool ApplyRecords(const Context& context, const LogRead& read);
  void HandleFailure(const Context& context);

  const Options& options;
  Replica& replica;
  RequestIdGenerator& request_ids;
  Counters& counters;
  Backoff backoff;
  std::optional<Read> read;
  utils::Timestamp next_read{};
  Mode mode = Mode::kOff;
  bool healthy = false;
  bool any_read_failed = false;
  bool probe = true;
  std::optional<utils::Timestamp> first_sent;
  std::optional<Offset> first_head;
  Offset head = 0;
  Offset first_kept = 0;
  std::uint64_t finished_reads = 0;
};

}  // namespace amaranthlatch::distribution::details
