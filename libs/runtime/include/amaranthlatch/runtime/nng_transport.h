// Transport over nng: one listening PULL socket and a bounded cache of PUSH sockets.
//
// A message waits in this process until its link stands and nng takes it without blocking. It is
// reported as not sent if the link cannot be made, or if too many wait. When a link is lost its
// socket is closed, so that nng does not deliver old messages over a later connection.
//
// PUSH links carry nothing back, and each direction between two nodes is a connection of its own
// that can go silent alone. So only an answer to a keep-alive message, sent over the link and
// answered over the peer's, proves a link, for all that was sent before. A link is probed after an
// interval without an answer that is due, and some intervals after any other message. After three
// more intervals, or seven if no answer is due or the peer itself still sends, it is closed and
// reported as lost; the next Send dials anew. A peer that probes may not hear this node, so that
// the link to it is probed too.
//
// With a known rate of the instance's link, messages above 16 KiB are sent in fragments at a pace
// below that rate, and all others at once between them (docs/design/links.md).

#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "amaranthlatch/runtime/transport.h"
#include "amaranthlatch/utils/result.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime {

struct NngTransportOptions {
  // "ip:port" of the listener; also names this node to its peers.
  membership::NodeId address;
  // Authenticates keep-alive messages between nodes of one mesh.
  std::string secret;
  std::size_t max_message_bytes = 16UL * 1024 * 1024;
  std::size_t max_links = 512;
  // Messages that wait on one link.
  std::size_t max_waiting_messages = 256;
  // A message above this waits only if no other one does.
  std::size_t max_waiting_bytes = 8UL * 1024 * 1024;
  // Of the instance's link in each direction; 0 if unknown, which sends all messages at once.
  double link_bytes_per_second = 0.0;
  // Messages that wait to be sent in fragments, to all peers together; one above this waits only if
  // no other one does.
  std::uint64_t max_bulk_bytes = 16UL * 1024 * 1024;
  // The same for messages that are being received in fragments.
  std::uint64_t max_reassembly_bytes = 16UL * 1024 * 1024;
  // Received messages on their way to the io_context.
  std::size_t max_received_messages = 1024;
  utils::Duration dial_limit = utils::Milliseconds(1000);
  utils::Duration keep_alive_interval = utils::Milliseconds(1000);
};

class NngTransport final : public Transport {
 public:
  // Listens at once. The listener must outlive the transport.
  static utils::Result<std::unique_ptr<NngTransport>> Create(asio::io_context& context,
                                                             NngTransportOptions options,
                                                             TransportListener& listener);
  ~NngTransport() override;

  void Send(const membership::NodeId& to, OutgoingMessage message) override;
  bool HasStream(const membership::NodeId& peer, std::uint64_t stream) const override;
  void DropStream(const membership::NodeId& peer, std::uint64_t stream) override;
  void ChargeLink(std::size_t bytes) override;
  void NoteHeard(const membership::NodeId& peer) override;
  void NoteAnswered(const membership::NodeId& peer) override;
  const TransportCounters& Counters() const override;

  // Links that stand or are being made.
  std::size_t LinkCount() const;

 private:
  class Impl;
  explicit NngTransport(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> impl;
};

}  // namespace amaranthlatch::runtime
