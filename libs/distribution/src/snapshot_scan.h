// Search of the log's stream `snapshots`, from its newest record backwards, for the newest
// complete snapshot.

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
    // A complete snapshot was found; it is taken with TakeFound().
    kFound,
    // The stream holds no complete one.
    kNotFound,
  };

  SnapshotScan(const Options& options, RequestIdGenerator& request_ids, Counters& counters,
               utils::Random& random);

  void Start();
  void Stop();
  bool Running() const { return this->running; }

  // Goes on behind a snapshot that turned out to be of no use.
  void Continue();

  // Reads the next page when it is due: at most the permitted records a second.
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
  // Records still to be read are [first_kept, unread_end); unknown until the stream has answered.
  std::optional<Offset> unread_end;
  Offset first_kept = 1;
  Offset page_start = 0;
  std::optional<Snapshot> found;
};

}  // namespace amaranthlatch::distribution::details
