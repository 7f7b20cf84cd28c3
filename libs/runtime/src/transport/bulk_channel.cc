// When to send again, and what to log.

#include "transport/bulk_channel.h"

#include <algorithm>
#include <optional>

#include "amaranthlatch/runtime/log_line.h"
#include "transport/fragment.h"
#include "transport/monotonic_time.h"

namespace amaranthlatch::runtime::details {

namespace {

// Shortest time between two wake-ups. A fast link sends several fragments in it.
constexpr utils::Duration kMinInterval = utils::Milliseconds(2);
// Between looks at a wait that may have to be logged.
constexpr utils::Duration kWatchInterval = utils::Milliseconds(250);

}  // namespace

bool BulkChannel::Takes(const membership::NodeId& peer, const OutgoingMessage& message) const {
  return message.bytes.size() > kBulkBytes || this->sender.HasStream(peer, message.stream);
}

bool BulkChannel::Send(const membership::NodeId& peer, OutgoingMessage& message) {
  if (!this->sender.Add(peer, message)) {
    return false;
  }
  this->Pump();
  return true;
}

void BulkChannel::DropStream(const membership::NodeId& peer, std::uint64_t stream) {
  this->sender.DropStream(peer, stream);
}

void BulkChannel::Charge(std::size_t bytes) { this->sender.Charge(bytes, MonotonicNow()); }

void BulkChannel::OnUp(const membership::NodeId& peer) {
  this->sender.OnUp(peer);
  this->Pump();
}

std::vector<std::function<void()>> BulkChannel::OnClosed(const membership::NodeId& peer) {
  return this->sender.OnClosed(peer);
}

void BulkChannel::OnAnswered(const membership::NodeId& peer, const LinkProof::Probe& probe) {
  this->sender.OnAnswered(peer, probe.position, probe.sent_at, MonotonicNow());
  this->Pump();
}

void BulkChannel::AddTo(TransportCounters& counters) const {
  counters.bulk_messages = this->sender.Messages();
  counters.bulk_fragments = this->sender.Fragments();
  counters.bulk_messages_incomplete = this->sender.Incomplete();
  counters.bulk_waiting_bytes = this->sender.WaitingBytes();
  counters.bulk_wait = this->sender.Wait(MonotonicNow());
}

void BulkChannel::Pump() {
  const utils::Timestamp now = MonotonicNow();
  std::optional<utils::Timestamp> next = this->sender.Pump(now);
  this->LogCongestion(now);
  if (this->congestion.IsWatched()) {
    next = std::min(next.value_or(utils::Timestamp::max()), now + kWatchInterval);
  }
  if (!next) {
    this->timer.cancel();
    return;
  }
  this->timer.expires_after(std::max(*next - now, kMinInterval));
  this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code& error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->Pump();
    }
  });
}

void BulkChannel::LogCongestion(utils::Timestamp now) {
  const utils::Duration wait = this->sender.Wait(now);
  if (this->congestion.Update(wait, now)) {
    LogLine(this->congestion.IsCongested() ? "link-congested" : "link-clear")
        .Add("wait_ms", static_cast<std::uint64_t>(utils::ToMilliseconds(wait)))
        .Add("bytes", this->sender.WaitingBytes())
        .Info();
  }
}

}  // namespace amaranthlatch::runtime::details
