// One-way messages between nodes. The transport carries opaque bytes; sealing is the host's.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime {

// What a transport reports. All calls come on the io_context's thread, never from within Send.
class TransportListener {
 public:
  virtual ~TransportListener() = default;

  virtual void OnMessage(std::string bytes) = 0;

  // The link to the peer is lost; messages handed over before may or may not have arrived.
  virtual void OnPeerLost(const membership::NodeId& peer) = 0;
};

struct OutgoingMessage {
  std::string bytes;
  // The peer answers at once, so that a link without an answer is probed soon; others later.
  bool answer_expected = false;
  // Called later if the message has not left the process and never will.
  std::function<void()> not_sent;
  // Among messages that wait for the link.
  document::Priority priority = document::Priority::kNormal;
  // Messages of one stream to a peer arrive in the order in which they were sent. All others may
  // pass large ones. 0 for no stream.
  std::uint64_t stream = 0;
};

struct TransportCounters {
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t messages_not_sent = 0;
  std::uint64_t messages_too_large = 0;
  std::uint64_t keep_alives_sent = 0;
  std::uint64_t keep_alive_bytes_sent = 0;
  std::uint64_t links_opened = 0;
  std::uint64_t links_lost = 0;
  std::uint64_t links_silent = 0;
  std::uint64_t links_evicted = 0;
  // Receiving stopped because the queue to the io_context was full.
  std::uint64_t receive_pauses = 0;
  // Messages that were queued to be sent in fragments, the fragments sent, and the messages that
  // were sent in part only.
  std::uint64_t bulk_messages = 0;
  std::uint64_t bulk_fragments = 0;
  std::uint64_t bulk_messages_incomplete = 0;
  // Messages received in part that were dropped.
  std::uint64_t reassemblies_dropped = 0;
  // Present values: what waits to be sent in fragments, and until it is sent.
  std::uint64_t bulk_waiting_bytes = 0;
  utils::Duration bulk_wait{};
};

class Transport {
 public:
  virtual ~Transport() = default;

  // Queues the message; never blocks.
  virtual void Send(const membership::NodeId& to, OutgoingMessage message) = 0;

  // Whether messages of the stream wait to be sent to the peer, at least in part.
  virtual bool HasStream(const membership::NodeId& peer, std::uint64_t stream) const = 0;

  // Drops the messages of the stream that wait for the peer, without a report. Of one that was sent
  // in part, the rest is not sent.
  virtual void DropStream(const membership::NodeId& peer, std::uint64_t stream) = 0;

  // Bytes that the process sent to other instances over the link by other ways.
  virtual void ChargeLink(std::size_t bytes) = 0;

  // The host has verified that a message came from this peer. The peer runs, but its messages come
  // over a connection of its own: they show nothing about the link to it.
  virtual void NoteHeard(const membership::NodeId& peer) = 0;

  // The host has verified an answer of this peer to some message sent to it: none is overdue.
  virtual void NoteAnswered(const membership::NodeId& peer) = 0;

  virtual const TransportCounters& Counters() const = 0;
};

}  // namespace amaranthlatch::runtime
