// Decides which fragment of the waiting bulk messages is sent next, and when.
//
// The fragments of all peers together take at most a share of the link's rate, less what other
// messages take of it, and are handed over at most kAheadTime before the link can send them. More
// urgent classes go first. Within a class the peers are served in turns, by bytes; the messages of
// one peer and class go one after the other.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime::details {

struct BulkPacerOptions {
  double link_bytes_per_second = 0.0;
  // Of all waiting messages. A message above this waits only if no other one does. One peer takes
  // half of it at most, so that a peer that takes nothing leaves room for others.
  std::uint64_t max_waiting_bytes = 0;
  std::size_t max_waiting_messages = 1024;
};

class BulkPacer {
 public:
  using Number = std::uint64_t;

  // Part of a waiting message.
  struct Piece {
    membership::NodeId peer;
    Number message = 0;
    std::size_t offset = 0;
    std::size_t length = 0;
    bool operator==(const Piece&) const = default;
  };

  explicit BulkPacer(const BulkPacerOptions& options);

  // False if too much waits. `number` is unique.
  bool Add(const membership::NodeId& peer, Number number, document::Priority priority,
           std::size_t bytes);

  // Forgets what is left of the message.
  void Remove(const membership::NodeId& peer, Number number);

  // Forgets the peer. Returns its messages in the order in which they were added.
  std::vector<Number> RemovePeer(const membership::NodeId& peer);

  // Whether the link to the peer takes fragments. A peer is not ready at first.
  void SetReady(const membership::NodeId& peer, bool ready);

  // Bytes that were put on the link besides.
  void Charge(std::size_t bytes, utils::Timestamp now);

  // The fragment that may be sent now. It stays the next one until Sent() is called.
  std::optional<Piece> Next(utils::Timestamp now) const;

  // The fragment given by Next() was handed over. Returns true if it was the message's last one.
  bool Sent(const Piece& piece, utils::Timestamp now);

  // When Next() gives a fragment; none while no peer that is ready has a message.
  std::optional<utils::Timestamp> NextTime() const;

  std::uint64_t WaitingBytes() const { return this->waiting_bytes; }
  std::size_t WaitingMessages() const { return this->waiting_messages; }
  bool HasMessages(const membership::NodeId& peer) const;

  // Time in which the link sends what waits and what was handed over ahead of time.
  utils::Duration Wait(utils::Timestamp now) const;

 private:
  struct Message {
    Number number = 0;
    std::size_t bytes = 0;
    std::size_t sent = 0;
  };
  using Queues = std::array<std::deque<Message>, document::kPriorityCount>;
  // For each class, the bytes that a peer which is served all the time has been sent.
  using VirtualTimes = std::array<std::uint64_t, document::kPriorityCount>;
  struct Peer {
    Queues queues;
    std::uint64_t bytes = 0;
    bool ready = false;
    VirtualTimes start{};
  };
  struct Choice {
    std::map<membership::NodeId, Peer>::const_iterator peer;
    std::size_t priority = 0;
  };

  // A peer gets no credit for the time in which it was not served.
  void Rejoin(Peer& peer) const;
  static Piece FirstPiece(const Choice& choice);
  std::optional<Choice> Choose() const;
  // Bytes that may be sent at once; negative while other messages exceed the rate.
  double CreditAt(utils::Timestamp now) const;
  void Spend(double bytes, utils::Timestamp now);
  void Subtract(Peer& peer, std::size_t bytes);

  const BulkPacerOptions options;
  // Bytes per second of fragments and other messages together.
  const double rate;
  const double max_credit;
  // Peers with waiting messages, and those that are ready. Ordered, so that ties are decided alike.
  std::map<membership::NodeId, Peer> peers;
  std::uint64_t waiting_bytes = 0;
  std::size_t waiting_messages = 0;
  // The largest start of a fragment that was sent.
  VirtualTimes now_served{};
  double credit;
  utils::Timestamp credited_at{};
  // Since then bulk may have its least share.
  utils::Timestamp last_sent_at{};
};

}  // namespace amaranthlatch::runtime::details
