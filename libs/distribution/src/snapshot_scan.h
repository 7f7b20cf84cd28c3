// Searches the log's `snapshots` stream backwards from its newest record for the newest complete
// snapshot.

#pragma once

#include <cstdint>
#include <optional>

#include "amaranthlatch/distribution/counters.h"
#include "amaranthlatch/distribution/options.h"
#include "context.h"
#include "log_follower.h"
#include "snapshot_collector.h"

namespace amaranthlatch::distribution::details {

class SnapshotScan {
 public:
  enum class Progress : std::uint8_t {
    kInProgress,
    // A complete snapshot is available from TakeFound().
    kFound,
    // The stream contains no complete snapshot.
    kNotFound,
  };

  SnapshotScan(const Options& options, RequestIdGenerator& request_ids, Counters& counters,
               utils::Random& random);

  void Start();
  void Stop();
  bool Running() const { return this->running; }

  // Resumes the search after the caller has rejected the found snapshot.
  void Continue();

  // Reads the next page when it is due, within the limit on records per second.
  void Run(const Context& context);
  std::optional<utils::Timestamp> NextWake() const;

  void OnRead(const Context& context, const LogRead& read);
  void OnFailed(const Context& context, const LogReadFailed& failure);

  Progress GetProgress() const { return this->progress; }
  Snapshot TakeFound();

 private:
  void UpdateProgress();

  const Options& options;
  RequestIdGenerator& request_ids;
  Counters& counters;
  Backoff backoff;
  SnapshotCollector collector;
  bool running = false;
  Progress progress = Progress::kInProgress;
  std::uint64_t request = 0;
  utils::Timestamp deadline{};
  utils::Timestamp next_read{};
  // Unread records are [first_kept, unread_end); empty until the first successful read.
  std::optional<Offset> unread_end;
  Offset first_kept = 1;
  Offset page_start = 0;
  std::optional<Snapshot> found;
};

}  // namespace amaranthlatch::distribution::details
