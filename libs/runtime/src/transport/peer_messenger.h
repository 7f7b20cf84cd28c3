// Messages of a node in register mode: seals and sends those to other nodes, and opens those that
// arrive.

#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "amaranthlatch/node/envelope.h"
#include "amaranthlatch/node/register_node.h"
#include "amaranthlatch/runtime/nng_transport.h"
#include "amaranthlatch/runtime/register_settings.h"
#include "amaranthlatch/utils/result.h"
#include "settings/memory_plan.h"
#include "transport/message_class.h"

namespace amaranthlatch::runtime::details {

class PeerMessenger final : public TransportListener {
 public:
  using Report = std::function<void(const node::RegisterEvent&)>;

  // Listens for messages. They are reported until `is_stopped`.
  static utils::Result<std::unique_ptr<PeerMessenger>> Create(asio::io_context& context,
                                                              const RegisterSettings& settings,
                                                              const MemoryPlan& memory,
                                                              std::uint64_t boot_id, Report report,
                                                              std::function<bool()> is_stopped);

  void Send(node::SendMessage message);
  // Bytes that the process sent to other instances by other ways.
  void ChargeLink(std::size_t bytes) { this->transport->ChargeLink(bytes); }

  void OnMessage(std::string bytes) override;
  void OnPeerLost(const membership::NodeId& peer) override;

  const node::Envelope::Counters& EnvelopeCounters() const { return this->envelope.GetCounters(); }
  const TransportCounters& LinkCounters() const { return this->transport->Counters(); }

 private:
  PeerMessenger(asio::io_context& context, node::Envelope envelope, Report report,
                std::function<bool()> is_stopped);

  asio::io_context& context;
  node::Envelope envelope;
  const Report report;
  const std::function<bool()> is_stopped;
  MessageClasses classes;
  std::unique_ptr<NngTransport> transport;
};

}  // namespace amaranthlatch::runtime::details
