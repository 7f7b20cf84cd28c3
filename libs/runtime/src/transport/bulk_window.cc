// Growth and reduction of the window.

#include "transport/bulk_window.h"

#include <algorithm>

#include "transport/fragment.h"

namespace amaranthlatch::runtime::details {

namespace {

// A body of 90 KB goes without waiting for an answer.
constexpr std::uint64_t kInitialBytes = std::uint64_t{128} * 1024;
// With less, the answers of a node that is short of processor time would hold its link up.
constexpr std::uint64_t kMinBytes = std::uint64_t{64} * 1024;
// Queueing on the way to the peer that is accepted. A node with a tenth of a core takes up to 90 ms
// to answer without any.
constexpr utils::Duration kMaxQueueing = utils::Milliseconds(100);
// The way to the peer may have changed since.
constexpr utils::Duration kLeastTimeAge = utils::Seconds(30);
// The answers that show a queue come after it has formed. A window that grew by all that was
// received passed the accepted queueing by 120 ms in the test with a slow peer, one that grows by a
// quarter by 50 ms.
constexpr std::uint64_t kGrowth = 4;
constexpr std::uint64_t kMarkersInWindow = 4;
constexpr std::uint64_t kMinMarkerBytes = 2 * kFragmentBytes;

}  // namespace

BulkWindow::BulkWindow(double link_bytes_per_second)
    : link_bytes_per_second(link_bytes_per_second), size(kInitialBytes) {}

bool BulkWindow::IsOpen() const { return this->InFlight() + kFragmentBytes <= this->size; }

void BulkWindow::OnSent(std::size_t bytes) { this->sent += bytes; }

bool BulkWindow::MarkerDue() const {
  return this->sent - this->marked >= std::max(this->size / kMarkersInWindow, kMinMarkerBytes);
}

void BulkWindow::OnAnswered(std::uint64_t position, utils::Timestamp sent_at,
                            utils::Timestamp now) {
  const utils::Duration time = now - sent_at;
  this->Measure(time, now);
  if (position <= this->received) {
    return;
  }
  const std::uint64_t bytes = position - this->received;
  const bool was_limiting = 2 * this->InFlight() >= this->size;
  this->received = position;
  if (time > *this->least_time + kMaxQueueing) {
    // Once for what was sent at the earlier size.
    if (position > this->reduced_at) {
      this->size = std::max(this->size / 4 * 3, kMinBytes);
      this->reduced_at = this->sent;
    }
  } else if (was_limiting) {
    this->size = std::max(this->size, std::min(this->size + bytes / kGrowth, this->Limit()));
  }
}

std::uint64_t BulkWindow::Limit() const {
  const auto seconds = std::chrono::duration<double>(*this->least_time + kMaxQueueing).count();
  return std::max(kInitialBytes, static_cast<std::uint64_t>(this->link_bytes_per_second * seconds));
}

void BulkWindow::Measure(utils::Duration time, utils::Timestamp now) {
  if (!this->least_time || time <= *this->least_time || now - this->least_time_at > kLeastTimeAge) {
    this->least_time = time;
    this->least_time_at = now;
  }
}

}  // namespace amaranthlatch::runtime::details
