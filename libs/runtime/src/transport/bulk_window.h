// How many bytes of fragments may be on their way to one peer.
//
// The pacer knows the rate of this node's link only. Where another link is slower, or shared with
// others, the bytes would pile up in the kernel, and small messages and probes to the peer behind
// them. So keep-alive messages are sent between the fragments; their answers tell how far the peer
// has received, and how long that took. The window grows with bytes received and shrinks when they
// take much longer than at best.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime::details {

class BulkWindow {
 public:
  explicit BulkWindow(double link_bytes_per_second);

  // Whether a fragment may be sent.
  bool IsOpen() const;

  void OnSent(std::size_t bytes);

  // Whether enough was sent since the last keep-alive message to send one.
  bool MarkerDue() const;

  // Bytes sent so far: the position of a keep-alive message that is sent now.
  std::uint64_t Position() const { return this->sent; }
  void OnMarkerSent() { this->marked = this->sent; }

  // A keep-alive message that was sent at this position and time was answered.
  void OnAnswered(std::uint64_t position, utils::Timestamp sent_at, utils::Timestamp now);

  std::uint64_t InFlight() const { return this->sent - this->received; }
  std::uint64_t Size() const { return this->size; }

 private:
  std::uint64_t Limit() const;
  void Measure(utils::Duration time, utils::Timestamp now);

  const double link_bytes_per_second;
  std::uint64_t size;
  // received <= marked <= sent.
  std::uint64_t sent = 0;
  std::uint64_t marked = 0;
  std::uint64_t received = 0;
  // Position up to which an answer says nothing about the present size.
  std::uint64_t reduced_at = 0;
  // Shortest time to an answer lately.
  std::optional<utils::Duration> least_time;
  utils::Timestamp least_time_at{};
};

}  // namespace amaranthlatch::runtime::details
