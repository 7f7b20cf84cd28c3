// Writing and reading of snapshots in the log.

#include "snapshot_stream.h"

#include <algorithm>
#include <utility>

namespace amaranthlatch::distribution::details {

namespace {

// Share of the kept records by which a snapshot may be behind.
constexpr Offset kRetentionDivisor = 4;
// A snapshot that is less behind than this is not renewed: a short log is read as fast.
constexpr Offset kMinBehind = 32;

}  // namespace

SnapshotStream::SnapshotStream(const Options& options, Replica& replica, const LogFollower& log,
                               RequestNumbers& numbers, Counters& counters, utils::Random& random)
    : options(options),
      replica(replica),
      log(log),
      numbers(numbers),
      counters(counters),
      scan(options, numbers, counters, random),
      backoff(options, random) {}

void SnapshotStream::Run(const Context& context, bool writer, bool wanted) {
  if (writer != this->was_writer) {
    // Another node may have written while this one was no writer.
    this->was_writer = writer;
    this->newest.reset();
    this->writing.reset();
  }
  const bool idle = !this->scan.Running() && !this->writing;
  const bool search = wanted || (writer && !this->newest);
  if (idle && search && this->next_check <= context.now) {
    this->scan.Start();
  }
  if (this->scan.Running() && !writer && !wanted) {
    this->scan.Stop();
  }
  if (this->scan.GetProgress() != SnapshotScan::Progress::kOpen) {
    this->FinishScan(context, wanted);
  }
  this->scan.Run(context);
  if (writer && this->newest && !this->writing && this->next_check <= context.now) {
    this->Check(context);
  }
  if (this->writing) {
    this->Write(context);
  }
}

void SnapshotStream::FinishScan(const Context& context, bool wanted) {
  while (this->scan.GetProgress() == SnapshotScan::Progress::kFound && !this->UseFound(wanted)) {
    ++this->counters.snapshots_rejected;
    this->scan.Continue();
  }
  if (this->scan.GetProgress() == SnapshotScan::Progress::kOpen) {
    return;
  }
  if (this->scan.GetProgress() == SnapshotScan::Progress::kNothing) {
    this->newest = 0;
  }
  this->newest_since = context.now;
  this->next_check = context.now + this->options.snapshot_check;
  this->scan.Stop();
}

bool SnapshotStream::UseFound(bool wanted) {
  utils::Result<acceptance::State> state = DecodeSnapshot(this->scan.TakeFound());
  if (!state) {
    return false;
  }
  // A snapshot below the kept part of the log cannot be followed by entries.
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
  const Offset behind = offset - std::min(offset, *this->newest);
  const Offset kept = this->log.Head() + 1 - std::min(this->log.Head() + 1, this->log.FirstKept());
  const bool far_behind = behind > this->options.snapshot_max_lag ||
                          behind > std::max(kMinBehind, kept / kRetentionDivisor);
  const bool old = context.now - this->newest_since > this->options.snapshot_max_age;
  return offset > 0 && (far_behind || old);
}

void SnapshotStream::Check(const Context& context) {
  this->next_check = context.now + this->options.snapshot_check;
  if (this->IsDue(context)) {
    this->writing = Writing();
    this->writing->snapshot = EncodeSnapshot(this->replica.InForce());
    this->writing->next_append = context.now;
  }
}

void SnapshotStream::Write(const Context& context) {
  Writing& current = *this->writing;
  if (current.request != 0 && current.deadline <= context.now) {
    this->RetryAppend(context);
  }
  if (current.request != 0 || current.next_append > context.now) {
    return;
  }
  current.request = this->numbers.Next();
  current.deadline = context.now + this->options.read_timeout;
  current.next_append = context.now + utils::Seconds(1) / this->options.snapshot_records_per_second;
  context.effects.emplace_back(
      AppendLog{.request = current.request,
                .stream = Stream::kSnapshots,
                .value = MakeSnapshotRecord(current.snapshot, current.index)});
}

// The record may have been written all the same; a repeated chunk does no harm.
void SnapshotStream::RetryAppend(const Context& context) {
  this->writing->request = 0;
  this->writing->next_append = context.now + this->backoff.Next();
}

void SnapshotStream::OnAppendDone(const Context& context, const LogAppendDone& done) {
  if (!this->writing || this->writing->request != done.request) {
    return;
  }
  this->backoff.Reset();
  this->writing->request = 0;
  ++this->writing->index;
  if (this->writing->index == this->writing->snapshot.chunks.size()) {
    this->newest = this->writing->snapshot.offset;
    this->newest_since = context.now;
    this->writing.reset();
    ++this->counters.snapshots_written;
  }
}

void SnapshotStream::OnAppendFailed(const Context& context, const LogAppendFailed& failure) {
  if (this->writing && this->writing->request == failure.request) {
    this->RetryAppend(context);
  }
}

std::optional<utils::Timestamp> SnapshotStream::NextWake() const {
  if (this->writing) {
    return this->writing->request != 0 ? this->writing->deadline : this->writing->next_append;
  }
  if (this->scan.Running()) {
    return this->scan.NextWake();
  }
  return this->was_writer ? std::optional(this->next_check) : std::nullopt;
}

}  // namespace amaranthlatch::distribution::details
