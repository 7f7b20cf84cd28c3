// Snapshot chunk requests, retries and admission of transfers.

#include "snapshot_transfer.h"

#include <algorithm>
#include <utility>

namespace amaranthlatch::distribution::details {

namespace {

// Number of chunk timeouts after which the sender releases an inactive transfer.
constexpr int kSenderTimeoutFactor = 3;
// Requests for one chunk before the receiver abandons the transfer.
constexpr std::uint32_t kMaxChunkRequests = 3;
// Divisor of the tail capacity in entries that gives the maximum lag of a reused snapshot.
constexpr Offset kReuseTailDivisor = 4;

}  // namespace

bool SnapshotSender::AdmitTransfer(const Context& context, const membership::NodeId& to) {
  const utils::Duration limit = this->options.snapshot_chunk_timeout * kSenderTimeoutFactor;
  std::erase_if(this->transfers, [&context, limit](const auto& transfer) {
    return context.now - transfer.second > limit;
  });
  if (this->transfers.contains(to) || this->transfers.size() < this->options.snapshot_transfers) {
    this->transfers[to] = context.now;
    return true;
  }
  return false;
}

void SnapshotSender::RefreshSnapshot() {
  if (this->snapshot && this->replica.Tail().Covers(this->snapshot->offset)) {
    const Offset lag = this->replica.HeldOffset() - this->snapshot->offset;
    const bool shared = this->transfers.size() > 1;
    if (shared || lag <= this->options.tail_entries / kReuseTailDivisor) {
      return;
    }
  }
  this->snapshot = EncodeSnapshot(this->replica.Held());
}

void SnapshotSender::OnRequest(const Context& context, const membership::NodeId& to,
                               const SnapshotRequest& request) {
  if (this->replica.HeldOffset() == 0 || !this->AdmitTransfer(context, to)) {
    ++this->counters.snapshots_deferred;
    const std::int64_t retry = utils::ToMilliseconds(this->options.snapshot_retry);
    context.Send(to, SnapshotRetryLater{static_cast<std::uint32_t>(retry)});
    return;
  }
  std::uint32_t index = request.index;
  if (!this->snapshot || request.offset != this->snapshot->offset ||
      index >= this->snapshot->chunks.size()) {
    this->RefreshSnapshot();
    index = 0;
  }
  const Snapshot& source = *this->snapshot;
  if (source.chunks.empty()) {
    return;
  }
  context.Send(to, SnapshotChunk{.offset = source.offset,
                                 .hash = source.hash,
                                 .index = index,
                                 .count = static_cast<std::uint32_t>(source.chunks.size()),
                                 .data = source.chunks[index]});
  ++this->counters.snapshot_chunks_sent;
  if (index + 1 == source.chunks.size()) {
    this->transfers.erase(to);
  }
}

bool SnapshotReceiver::Start(const Context& context, const membership::NodeId& from,
                             const SnapshotChunk& chunk) {
  if (chunk.index != 0 || chunk.count == 0 || chunk.count > kMaxSnapshotChunks ||
      chunk.offset <= this->replica.HeldOffset()) {
    return false;
  }
  this->transfer = Transfer();
  this->transfer->from = from;
  this->transfer->count = chunk.count;
  this->transfer->deadline = context.now;
  this->transfer->snapshot.offset = chunk.offset;
  this->transfer->snapshot.hash = chunk.hash;
  return true;
}

bool SnapshotReceiver::OnChunk(const Context& context, const membership::NodeId& from,
                               const SnapshotChunk& chunk) {
  const bool same_transfer = this->transfer && this->transfer->from == from;
  const bool same_snapshot = same_transfer && this->transfer->snapshot.offset == chunk.offset &&
                             this->transfer->snapshot.hash == chunk.hash &&
                             this->transfer->count == chunk.count;
  if (this->transfer && !same_transfer) {
    return false;
  }
  if (!same_snapshot && !this->Start(context, from, chunk)) {
    return false;
  }
  Transfer& current = *this->transfer;
  if (chunk.index != current.snapshot.chunks.size()) {
    return false;
  }
  ++this->counters.snapshot_chunks_received;
  current.snapshot.chunks.push_back(chunk.data);
  current.attempts = 0;
  if (current.snapshot.chunks.size() == current.count) {
    return this->Finish();
  }
  current.next_request_at = context.now + this->options.snapshot_chunk_interval;
  current.deadline = *current.next_request_at + this->options.snapshot_chunk_timeout;
  return false;
}

bool SnapshotReceiver::Finish() {
  const Snapshot snapshot = std::move(this->transfer->snapshot);
  this->transfer.reset();
  utils::Result<acceptance::State> state = DecodeSnapshot(snapshot);
  if (!state || !this->replica.Install(std::move(*state))) {
    ++this->counters.snapshots_rejected;
    return false;
  }
  ++this->counters.snapshots_installed;
  return true;
}

void SnapshotReceiver::OnRetryLater(const Context& context, const membership::NodeId& from,
                                    const SnapshotRetryLater& message) {
  const utils::Duration delay =
      std::min(utils::Milliseconds(message.retry_ms), this->options.snapshot_retry);
  this->earliest_request_time = context.now + delay / 2 + this->random.Jitter(delay / 2);
  this->OnUnreachable(from);
}

void SnapshotReceiver::OnUnreachable(const membership::NodeId& from) {
  if (this->transfer && this->transfer->from == from) {
    this->transfer.reset();
  }
}

void SnapshotReceiver::Run(const Context& context) {
  if (!this->transfer) {
    return;
  }
  Transfer& current = *this->transfer;
  const bool due = current.next_request_at && *current.next_request_at <= context.now;
  const bool timed_out = !current.next_request_at && current.deadline <= context.now;
  if (!due && !timed_out) {
    return;
  }
  if (current.attempts >= kMaxChunkRequests ||
      current.snapshot.offset <= this->replica.HeldOffset()) {
    this->transfer.reset();
    return;
  }
  ++current.attempts;
  current.next_request_at.reset();
  current.deadline = context.now + this->options.snapshot_chunk_timeout;
  context.Send(
      current.from,
      SnapshotRequest{.offset = current.snapshot.offset,
                      .index = static_cast<std::uint32_t>(current.snapshot.chunks.size())});
}

std::optional<utils::Timestamp> SnapshotReceiver::NextWake() const {
  if (!this->transfer) {
    return std::nullopt;
  }
  return this->transfer->next_request_at ? *this->transfer->next_request_at
                                         : this->transfer->deadline;
}

}  // namespace amaranthlatch::distribution::details
