// Token bucket and fair queueing.

#include "transport/bulk_pacer.h"

#include <algorithm>
#include <cmath>

#include "transport/fragment.h"

namespace amaranthlatch::runtime::details {

namespace {

// Share of the link's rate. The rest is for the heads of packets, about 5% with fragments of 8 KiB,
// and keeps the queue in the kernel empty.
constexpr double kShare = 0.9;
// What the link can send in this time is handed over ahead of it. It covers the delays of timers
// and of a busy thread, and is what a small message finds before it.
constexpr utils::Duration kAheadTime = utils::Milliseconds(20);
// Share of the link that bulk has when other messages fill it.
constexpr double kLeastShare = 0.1;
// Other messages hold bulk up for what the link sends in this time at most.
constexpr utils::Duration kMaxDebtTime = utils::Milliseconds(250);
// One peer's part of the waiting bytes.
constexpr std::uint64_t kPeerDivisor = 2;

double Seconds(utils::Duration duration) { return std::chrono::duration<double>(duration).count(); }

utils::Duration TimeFor(double bytes, double rate) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return utils::Duration(
      static_cast<std::int64_t>(std::ceil(bytes / rate * kMicrosecondsPerSecond)));
}

}  // namespace

BulkPacer::BulkPacer(const BulkPacerOptions& options)
    : options(options),
      rate(options.link_bytes_per_second * kShare),
      max_credit(std::max(options.link_bytes_per_second * Seconds(kAheadTime),
                          static_cast<double>(kFragmentBytes))),
      credit(this->max_credit) {}

bool BulkPacer::Add(const membership::NodeId& peer, Number number, document::Priority priority,
                    std::size_t bytes) {
  const std::uint64_t limit = this->options.max_waiting_bytes;
  const auto known = this->peers.find(peer);
  const std::uint64_t of_peer = known == this->peers.end() ? 0 : known->second.bytes;
  const bool fits = this->waiting_messages < this->options.max_waiting_messages &&
                    this->waiting_bytes + bytes <= limit &&
                    (of_peer == 0 || of_peer + bytes <= limit / kPeerDivisor);
  if (!fits && this->waiting_messages > 0) {
    return false;
  }
  Peer& entry = this->peers[peer];
  const auto index = static_cast<std::size_t>(priority);
  if (entry.queues.at(index).empty()) {
    entry.start.at(index) = std::max(entry.start.at(index), this->now_served.at(index));
  }
  entry.queues.at(index).push_back({number, bytes});
  entry.bytes += bytes;
  this->waiting_bytes += bytes;
  ++this->waiting_messages;
  return true;
}

void BulkPacer::Remove(const membership::NodeId& peer, Number number) {
  const auto found = this->peers.find(peer);
  if (found == this->peers.end()) {
    return;
  }
  for (std::deque<Message>& queue : found->second.queues) {
    const auto message = std::find_if(queue.begin(), queue.end(), [number](const Message& each) {
      return each.number == number;
    });
    if (message != queue.end()) {
      this->Subtract(found->second, message->bytes - message->sent);
      --this->waiting_messages;
      queue.erase(message);
      return;
    }
  }
}

std::vector<BulkPacer::Number> BulkPacer::RemovePeer(const membership::NodeId& peer) {
  std::vector<Number> removed;
  const auto found = this->peers.find(peer);
  if (found == this->peers.end()) {
    return removed;
  }
  for (const std::deque<Message>& queue : found->second.queues) {
    for (const Message& message : queue) {
      removed.push_back(message.number);
    }
  }
  this->waiting_messages -= removed.size();
  this->Subtract(found->second, found->second.bytes);
  this->peers.erase(found);
  std::sort(removed.begin(), removed.end());
  return removed;
}

void BulkPacer::SetReady(const membership::NodeId& peer, bool ready) {
  Peer& entry = this->peers[peer];
  if (ready && !entry.ready) {
    this->Rejoin(entry);
  }
  entry.ready = ready;
}

void BulkPacer::Rejoin(Peer& peer) const {
  for (std::size_t i = 0; i < document::kPriorityCount; ++i) {
    peer.start.at(i) = std::max(peer.start.at(i), this->now_served.at(i));
  }
}

void BulkPacer::Charge(std::size_t bytes, utils::Timestamp now) {
  this->Spend(static_cast<double>(bytes), now);
}

std::optional<BulkPacer::Piece> BulkPacer::Next(utils::Timestamp now) const {
  const auto due = this->NextTime();
  if (!due || *due > now) {
    return std::nullopt;
  }
  return FirstPiece(*this->Choose());
}

bool BulkPacer::Sent(const Piece& piece, utils::Timestamp now) {
  this->Spend(static_cast<double>(piece.length), now);
  this->last_sent_at = now;
  const auto found = this->peers.find(piece.peer);
  if (found == this->peers.end()) {
    return true;
  }
  Peer& peer = found->second;
  for (std::size_t i = 0; i < document::kPriorityCount; ++i) {
    std::deque<Message>& queue = peer.queues.at(i);
    if (queue.empty() || queue.front().number != piece.message) {
      continue;
    }
    this->now_served.at(i) = std::max(this->now_served.at(i), peer.start.at(i));
    peer.start.at(i) += piece.length;
    this->Subtract(peer, piece.length);
    queue.front().sent += piece.length;
    if (queue.front().sent < queue.front().bytes) {
      return false;
    }
    queue.pop_front();
    --this->waiting_messages;
    return true;
  }
  return true;
}

std::optional<utils::Timestamp> BulkPacer::NextTime() const {
  const auto choice = this->Choose();
  if (!choice) {
    return std::nullopt;
  }
  const auto length = static_cast<double>(FirstPiece(*choice).length);
  const utils::Timestamp by_credit =
      this->credited_at + TimeFor(std::max(length - this->credit, 0.0), this->rate);
  const utils::Timestamp by_share =
      this->last_sent_at + TimeFor(length, this->options.link_bytes_per_second * kLeastShare);
  return std::min(by_credit, by_share);
}

bool BulkPacer::HasMessages(const membership::NodeId& peer) const {
  const auto found = this->peers.find(peer);
  return found != this->peers.end() && found->second.bytes > 0;
}

utils::Duration BulkPacer::Wait(utils::Timestamp now) const {
  const double handed_over = std::max(this->max_credit - this->CreditAt(now), 0.0);
  return TimeFor(static_cast<double>(this->waiting_bytes) + handed_over, this->rate);
}

BulkPacer::Piece BulkPacer::FirstPiece(const Choice& choice) {
  const Message& message = choice.peer->second.queues.at(choice.priority).front();
  return {choice.peer->first, message.number, message.sent,
          std::min(kFragmentBytes, message.bytes - message.sent)};
}

std::optional<BulkPacer::Choice> BulkPacer::Choose() const {
  std::optional<Choice> best;
  for (auto peer = this->peers.begin(); peer != this->peers.end(); ++peer) {
    if (!peer->second.ready) {
      continue;
    }
    const Queues& queues = peer->second.queues;
    const auto first = std::find_if(queues.begin(), queues.end(),
                                    [](const auto& queue) { return !queue.empty(); });
    const auto priority = static_cast<std::size_t>(first - queues.begin());
    if (first == queues.end() || (best && priority > best->priority)) {
      continue;
    }
    if (!best || priority < best->priority ||
        peer->second.start.at(priority) < best->peer->second.start.at(priority)) {
      best = Choice{peer, priority};
    }
  }
  return best;
}

double BulkPacer::CreditAt(utils::Timestamp now) const {
  return std::min(this->credit + this->rate * Seconds(now - this->credited_at), this->max_credit);
}

void BulkPacer::Spend(double bytes, utils::Timestamp now) {
  const double max_debt = this->options.link_bytes_per_second * Seconds(kMaxDebtTime);
  this->credit = std::max(this->CreditAt(now) - bytes, -max_debt);
  this->credited_at = now;
}

void BulkPacer::Subtract(Peer& peer, std::size_t bytes) {
  peer.bytes -= bytes;
  this->waiting_bytes -= bytes;
}

}  // namespace amaranthlatch::runtime::details
