// The bulk messages that wait in this process, and their way onto the links.
//
// Reads no clock and does no I/O itself: the transport passes the time, gives access to the links
// and calls Pump() again at the time that it returns.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/runtime/transport.h"
#include "amaranthlatch/utils/time.h"
#include "transport/bulk_pacer.h"
#include "transport/bulk_window.h"

namespace amaranthlatch::runtime::details {

// What the sender needs of the transport.
class BulkLinks {
 public:
  virtual ~BulkLinks() = default;

  virtual bool IsUp(const membership::NodeId& peer) const = 0;

  // Hands a frame over without queueing it. False while the link takes none. `is_request`: the
  // frame ends a message that the peer answers.
  virtual bool HandOver(const membership::NodeId& peer, const std::string& frame,
                        bool is_request) = 0;

  // Sends a frame as small messages are sent.
  virtual void SendAtOnce(const membership::NodeId& peer, std::string frame) = 0;

  // Sends a keep-alive message whose answer is reported with the position. False if it is not sent.
  virtual bool SendMarker(const membership::NodeId& peer, std::uint64_t position) = 0;
};

class BulkSender {
 public:
  BulkSender(const BulkPacerOptions& options, BulkLinks& links) : links(links), pacer(options) {
    this->link_bytes_per_second = options.link_bytes_per_second;
  }

  // Queues the message; false, and the message is as before, if too much waits.
  bool Add(const membership::NodeId& peer, OutgoingMessage& message);

  // Whether messages of the stream wait for the peer; never for stream 0.
  bool HasStream(const membership::NodeId& peer, std::uint64_t stream) const;

  // Drops the waiting messages of the stream without a report. Of one that was sent in part, the
  // rest is not sent.
  void DropStream(const membership::NodeId& peer, std::uint64_t stream);

  // The link stands.
  void OnUp(const membership::NodeId& peer);

  // The link is closed. Returns the reports of the messages of which nothing was handed over.
  std::vector<std::function<void()>> OnClosed(const membership::NodeId& peer);

  // A probe or marker that was sent at this position and time was answered.
  void OnAnswered(const membership::NodeId& peer, std::uint64_t position, utils::Timestamp sent_at,
                  utils::Timestamp now);

  // Position of a probe that is sent now.
  std::uint64_t Position(const membership::NodeId& peer) const;

  // Bytes put on the link besides.
  void Charge(std::size_t bytes, utils::Timestamp now) { this->pacer.Charge(bytes, now); }

  // Hands over what may be sent now. Returns when to call it again.
  std::optional<utils::Timestamp> Pump(utils::Timestamp now);

  std::uint64_t WaitingBytes() const { return this->pacer.WaitingBytes(); }
  utils::Duration Wait(utils::Timestamp now) const { return this->pacer.Wait(now); }
  std::uint64_t Messages() const { return this->message_count; }
  std::uint64_t Fragments() const { return this->fragment_count; }
  // Messages that were sent in part only.
  std::uint64_t Incomplete() const { return this->incomplete_count; }

 private:
  using Number = BulkPacer::Number;

  struct Message {
    OutgoingMessage content;
    // On its link; 0 until the first fragment is handed over.
    std::uint64_t link_number = 0;
    std::size_t sent = 0;
  };
  struct Peer {
    explicit Peer(double link_bytes_per_second) : window(link_bytes_per_second) {}

    BulkWindow window;
    std::uint64_t last_link_number = 0;
    bool up = false;
    // The link took no frame; tried again at retry_at.
    bool busy = false;
    // Waiting messages by stream, in their order.
    std::map<std::uint64_t, std::vector<Number>> streams;
  };

  void SendPiece(const BulkPacer::Piece& piece, utils::Timestamp now);
  void Forget(Peer& peer, Number number);
  void UpdateReady(const membership::NodeId& id, const Peer& peer);
  void RetryBusy(utils::Timestamp now);

  BulkLinks& links;
  BulkPacer pacer;
  double link_bytes_per_second = 0.0;
  std::unordered_map<membership::NodeId, Peer> peers;
  // The same messages as in the pacer.
  std::unordered_map<Number, Message> messages;
  Number last_number = 0;
  // When to try the links that were busy; none while none is.
  std::optional<utils::Timestamp> retry_at;
  std::uint64_t message_count = 0;
  std::uint64_t fragment_count = 0;
  std::uint64_t incomplete_count = 0;
};

}  // namespace amaranthlatch::runtime::details
