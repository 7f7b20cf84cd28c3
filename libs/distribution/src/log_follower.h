// Reads the platform's log with one outstanding read at a time and backs off on failures.

#pragma once

#include <cstdint>
#include <optional>

#include "amaranthlatch/distribution/counters.h"
#include "amaranthlatch/distribution/options.h"
#include "amaranthlatch/utils/random.h"
#include "context.h"
#include "replica.h"

namespace amaranthlatch::distribution::details {

// Issues log request ids that are unique across all parts of a reducer.
struct RequestIdGenerator {
  std::uint64_t last = 0;
  std::uint64_t Next() { return ++this->last; }
};

// Exponential delay with jitter between failed attempts.
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
    // Reads only to learn the head offset.
    kHeadOnly,
    kFollow,
  };

  LogFollower(const Options& options, Replica& replica, RequestIdGenerator& request_ids,
              Counters& counters, utils::Random& random);

  // Sends the next read when it is due.
  void Run(const Context& context, Mode mode);
  std::optional<utils::Timestamp> NextWake() const;

  // Both return whether the result belongs to this follower's read. If it does, OnRead() sets
  // `applied` to whether the held offset advanced.
  bool OnRead(const Context& context, const LogRead& read, bool& applied);
  bool OnFailed(const Context& context, const LogReadFailed& failure);

  // Whether the last read succeeded and its records could be applied.
  bool Following() const { return this->healthy && !this->NeedsSnapshot(); }

  // Whether the log no longer retains the next entry this node needs.
  bool NeedsSnapshot() const { return this->first_kept > this->replica.HeldOffset() + 1; }

  // Head offset in the first successful read since this node started.
  std::optional<Offset> FirstHead() const { return this->first_head; }
  Offset Head() const { return this->head; }
  Offset FirstKept() const { return this->first_kept; }

  // Whether no read has succeeded since this node started, and one has failed or the first was sent
  // longer than `limit` ago.
  bool Unresponsive(utils::Timestamp now, utils::Duration limit) const;

  // Number of finished reads, successful or failed.
  std::uint64_t FinishedReads() const { return this->finished_reads; }

  // Makes the next read return without waiting at the log for new records.
  void RequestProbe() { this->probe = true; }

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
