// Snapshots in the log: written by the reader of the log's region, and read only when neither
// peers nor the log's entries can supply the state.

#pragma once

#include <cstdint>
#include <optional>

#include "amaranthlatch/distribution/counters.h"
#include "amaranthlatch/distribution/options.h"
#include "context.h"
#include "log_follower.h"
#include "replica.h"
#include "snapshot_scan.h"

namespace amaranthlatch::distribution::details {

class SnapshotStream {
 public:
  SnapshotStream(const Options& options, Replica& replica, const LogFollower& log,
                 RequestIdGenerator& request_ids, Counters& counters, utils::Random& random);

  // `writer` tells whether this node writes snapshots, `wanted` whether it needs one.
  void Run(const Context& context, bool writer, bool wanted);
  std::optional<utils::Timestamp> NextWake() const;

  void OnRead(const Context& context, const LogRead& read) { this->scan.OnRead(context, read); }
  void OnFailed(const Context& context, const LogReadFailed& failure) {
    this->scan.OnFailed(context, failure);
  }
  void OnAppendDone(const Context& context, const LogAppendDone& done);
  void OnAppendFailed(const Context& context, const LogAppendFailed& failure);

 private:
  struct PendingWrite {
    Snapshot snapshot;
    std::size_t index = 0;
    std::uint64_t request = 0;
    utils::Timestamp deadline{};
    utils::Timestamp next_append{};
  };

  void FinishScan(const Context& context, bool wanted);
  // Installs the found snapshot if it is ahead of the held state. Returns false if the snapshot is
  // corrupt or, with `wanted`, ends before the retained range of the log.
  bool InstallFound(bool wanted);
  void StartWriteIfDue(const Context& context);
  bool IsDue(const Context& context) const;
  void AppendNextChunk(const Context& context);
  void RetryAppend(const Context& context);

  const Options& options;
  Replica& replica;
  const LogFollower& log;
  RequestIdGenerator& request_ids;
  Counters& counters;
  SnapshotScan scan;
  Backoff backoff;
  bool was_writer = false;
  utils::Timestamp next_check{};
  // Offset of the newest complete snapshot in the stream, and the time when this node found or
  // wrote it.
  std::optional<Offset> newest;
  utils::Timestamp newest_seen_at{};
  std::optional<PendingWrite> pending_write;
};

}  // namespace amaranthlatch::distribution::details
