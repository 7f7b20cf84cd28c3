// Writing and reading of snapshots in the log.

#include "snapshot_stream.h"

#include <algorithm>
#include <utility>

namespace amaranthlatch::distribution::details {

namespace {

// Divisor of the number of retained log records that gives the maximum lag of a snapshot.
constexpr Offset kMaxLagRetentionDivisor = 4;
// Smaller lags do not trigger a new snapshot: reading that few entries from the log is as fast.
constexpr Offset kMinRenewalLag = 32;

}  // namespace

SnapshotStream::SnapshotStream(const Options& options, Replica& replica, const LogFollower& log,
                               RequestIdGenerator& request_ids, Counters& counters,
                               utils::Random& random)
    : options(options),
      replica(replica),
      log(log),
      request_ids(request_ids),
      counters(counters),
      scan(options, request_ids, counters, random),
      backoff(options, random) {}

void SnapshotStream::Run(const Context& context, bool writer, bool wanted) {
  if (writer != this->was_writer) {
    // Another node may have written snapshots while this one was not the writer.
    this->was_writer = writer;
    this->newest.reset();
    this->pending_write.reset();
  }
  const bool idle = !this->scan.Running() && !this->pending_write;
  const bool search = wanted || (writer && !this->newest);
  if (idle && search && this->next_check <= context.now) {
    this->scan.Start();
  }
  if (this->scan.Running() && !writer && !wanted) {
    this->scan.Stop();
  }
  if (this->scan.GetProgress() != SnapshotScan::Progress::kInProgress) {
    this->FinishScan(context, wanted);
  }
  this->scan.Run(context);
  if (writer && this->newest && !this->pending_write && this->next_check <= context.now) {
    this->StartWriteIfDue(context);
  }
  if (this->pending_write) {
    this->AppendNextChunk(context);
  }
}

void SnapshotStream::FinishScan(const Context& context, bool wanted) {
  while (this->scan.GetProgress() == SnapshotScan::Progress::kFound &&
         !this->InstallFound(wanted)) {
    ++this->counters.snapshots_rejected;
    this->scan.Continue();
  }
  if (this->scan.GetProgress() == SnapshotScan::Progress::kInProgress) {
    return;
  }
  if (this->scan.GetProgress() == SnapshotScan::Progress::kNotFound) {
    this->newest = 0;
  }
  this->newest_seen_at = context.now;
  this->next_check = context.now + this->options.snapshot_check;
  this->scan.Stop();
}

bool SnapshotStream::InstallFound(bool wanted) {
  utils::Result<acceptance::State> state = DecodeSnapshot(this->scan.TakeFound());
  if (!state) {
    return false;
  }
  // A snapshot below the retained range of the log cannot be continued with log entries.
  if (wanted && state->HeadOffset() + 1 < this->log.FirstKept()) {
    return false;
  }
  this->newest = state->HeadOffset();
  if (this->replica.Install(std::move(*state))) {
    ++this->counters.snapshots_read;
  }
  return true;
}

bool SnapshotStream::IsDue(const Context& context) const {
  const Offset offset = this->replica.InForceOffset();
  const Offset lag = offset - std::min(offset, *this->newest);
  const Offset kept = this->log.Head() + 1 - std::min(this->log.Head() + 1, this->log.FirstKept());
  const bool lag_exceeded = lag > this->options.snapshot_max_lag ||
                            lag > std::max(kMinRenewalLag, kept / kMaxLagRetentionDivisor);
  const bool expired = context.now - this->newest_seen_at > this->options.snapshot_max_age;
  return offset > 0 && (lag_exceeded || expired);
}

void SnapshotStream::StartWriteIfDue(const Context& context) {
  this->next_check = context.now + this->options.snapshot_check;
  if (this->IsDue(context)) {
    this->pending_write = PendingWrite();
    this->pending_write->snapshot = EncodeSnapshot(this->replica.InForce());
    this->pending_write->next_append = context.now;
  }
}

void SnapshotStream::AppendNextChunk(const Context& context) {
  PendingWrite& current = *this->pending_write;
  if (current.request != 0 && current.deadline <= context.now) {
    this->RetryAppend(context);
  }
  if (current.request != 0 || current.next_append > context.now) {
    return;
  }
  current.request = this->request_ids.Next();
  current.deadline = context.now + this->options.read_timeout;
  current.next_append = context.now + utils::Seconds(1) / this->options.snapshot_records_per_second;
  context.effects.emplace_back(
      AppendLog{.request = current.request,
                .stream = Stream::kSnapshots,
                .value = MakeSnapshotRecord(current.snapshot, current.index)});
}

// The failed append may still have taken effect; readers ignore duplicate chunks.
void SnapshotStream::RetryAppend(const Context& context) {
  this->pending_write->request = 0;
  this->pending_write->next_append = context.now + this->backoff.Next();
}

void SnapshotStream::OnAppendDone(const Context& context, const LogAppendDone& done) {
  if (!this->pending_write || this->pending_write->request != done.request) {
    return;
  }
  this->backoff.Reset();
  this->pending_write->request = 0;
  ++this->pending_write->index;
  if (this->pending_write->index == this->pending_write->snapshot.chunks.size()) {
    this->newest = this->pending_write->snapshot.offset;
    this->newest_seen_at = context.now;
    this->pending_write.reset();
    ++this->counters.snapshots_written;
  }
}

void SnapshotStream::OnAppendFailed(const Context& context, const LogAppendFailed& failure) {
  if (this->pending_write && this->pending_write->request == failure.request) {
    this->RetryAppend(context);
  }
}

std::optional<utils::Timestamp> SnapshotStream::NextWake() const {
  if (this->pending_write) {
    return this->pending_write->request != 0 ? this->pending_write->deadline
                                             : this->pending_write->next_append;
  }
  if (this->scan.Running()) {
    return this->scan.NextWake();
  }
  return this->was_writer ? std::optional(this->next_check) : std::nullopt;
}

}  // namespace amaranthlatch::distribution::details
