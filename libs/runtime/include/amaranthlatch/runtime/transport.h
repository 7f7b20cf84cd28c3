// One-way messages between nodes. The transport carries opaque bytes; sealing is the host's.

#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "amaranthlatch/membership/member.h"

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
};

class Transport {
 public:
  virtual ~Transport() = default;

  // Queues the message; never blocks.
  virtual void Send(const membership::NodeId& to, OutgoingMessage message) = 0;

  // The host has verified that a message came from this peer. The peer runs, but its messages come
  // over a connection of its own: they show nothing about the link to it.
  virtual void NoteHeard(const membership::NodeId& peer) = 0;

  // The host has verified an answer of this peer to some message sent to it: none is overdue.
  virtual void NoteAnswered(const membership::NodeId& peer) = 0;

  virtual const TransportCounters& Counters() const = 0;
};

}  // namespace amaranthlatch::runtime
