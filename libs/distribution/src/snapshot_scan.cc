// Paged backward search for snapshots.

#include "snapshot_scan.h"

#include <algorithm>
#include <utility>

namespace amaranthlatch::distribution::details {

SnapshotScan::SnapshotScan(const Options& options, RequestIdGenerator& request_ids,
                           Counters& counters, utils::Random& random)
    : options(options), request_ids(request_ids), counters(counters), backoff(options, random) {}

void SnapshotScan::Start() {
  this->Stop();
  this->running = true;
}

void SnapshotScan::Stop() {
  this->running = false;
  this->progress = Progress::kInProgress;
  this->request = 0;
  this->unread_end.reset();
  this->found.reset();
  this->collector.Clear();
}

void SnapshotScan::Continue() {
  this->progress = Progress::kInProgress;
  this->UpdateProgress();
}

void SnapshotScan::Run(const Context& context) {
  if (!this->running || this->progress != Progress::kInProgress) {
    return;
  }
  if (this->request != 0 && this->deadline <= context.now) {
    this->request = 0;
    this->next_read = context.now + this->backoff.Next();
  }
  if (this->request != 0 || this->next_read > context.now) {
    return;
  }
  const Offset page = this->options.snapshot_records_per_second;
  this->page_start = this->first_kept;
  std::uint32_t limit = 1;
  if (this->unread_end) {
    this->page_start =
        std::max(this->first_kept, *this->unread_end - std::min(*this->unread_end, page));
    limit = static_cast<std::uint32_t>(*this->unread_end - this->page_start);
  }
  this->request = this->request_ids.Next();
  this->deadline = context.now + this->options.read_timeout;
  this->next_read = context.now + utils::Seconds(1);
  ++this->counters.log_reads;
  context.effects.emplace_back(ReadLog{.request = this->request,
                                       .stream = Stream::kSnapshots,
                                       .from = this->page_start,
                                       .limit = limit,
                                       .wait = {}});
}

void SnapshotScan::UpdateProgress() {
  if (auto snapshot = this->collector.TakeNewest()) {
    this->found = std::move(*snapshot);
    this->progress = Progress::kFound;
  } else if (this->unread_end && *this->unread_end <= this->first_kept) {
    this->progress = Progress::kNotFound;
  }
}

void SnapshotScan::OnRead(const Context& context, const LogRead& read) {
  if (this->request == 0 || read.request != this->request) {
    return;
  }
  this->request = 0;
  this->backoff.Reset();
  this->first_kept = std::max<Offset>(1, read.first_kept);
  if (!this->unread_end) {
    // The first read only locates the head and does not count towards the rate limit.
    this->unread_end = read.head + 1;
    this->next_read = context.now;
    this->UpdateProgress();
    return;
  }
  for (const LogRecord& record : read.records) {
    if (!this->collector.Add(record.value)) {
      ++this->counters.snapshot_records_skipped;
    }
  }
  this->unread_end = this->page_start;
  this->UpdateProgress();
}

void SnapshotScan::OnFailed(const Context& context, const LogReadFailed& failure) {
  if (this->request == 0 || failure.request != this->request) {
    return;
  }
  this->request = 0;
  if (failure.first_kept) {
    this->first_kept = std::max(this->first_kept, *failure.first_kept);
    this->UpdateProgress();
  } else {
    ++this->counters.log_failures;
  }
  this->next_read = context.now + this->backoff.Next();
}

Snapshot SnapshotScan::TakeFound() {
  Snapshot snapshot = std::move(*this->found);
  this->found.reset();
  return snapshot;
}

std::optional<utils::Timestamp> SnapshotScan::NextWake() const {
  if (!this->running || this->progress != Progress::kInProgress) {
    return std::nullopt;
  }
  return this->request != 0 ? this->deadline : this->next_read;
}

}  // namespace amaranthlatch::distribution::details
