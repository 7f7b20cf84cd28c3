// Runs a BulkSender: its clock, its timer and its log lines.

#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/runtime/transport.h"
#include "amaranthlatch/utils/time.h"
#include "transport/bulk_sender.h"
#include "transport/congestion_state.h"
#include "transport/link_proof.h"

namespace amaranthlatch::runtime::details {

class BulkChannel : public std::enable_shared_from_this<BulkChannel> {
 public:
  // The links must outlive the channel.
  BulkChannel(asio::io_context& context, const BulkPacerOptions& options, BulkLinks& links)
      : timer(context), sender(options, links) {}

  // Whether the message goes this way: it is large, or follows one of its stream that waits here.
  bool Takes(const membership::NodeId& peer, const OutgoingMessage& message) const;

  // False, and the message is as before, if too much waits.
  bool Send(const membership::NodeId& peer, OutgoingMessage& message);

  bool HasStream(const membership::NodeId& peer, std::uint64_t stream) const {
    return this->sender.HasStream(peer, stream);
  }
  void DropStream(const membership::NodeId& peer, std::uint64_t stream);
  void Charge(std::size_t bytes);

  void OnUp(const membership::NodeId& peer);
  std::vector<std::function<void()>> OnClosed(const membership::NodeId& peer);
  void OnAnswered(const membership::NodeId& peer, const LinkProof::Probe& probe);

  std::uint64_t Position(const membership::NodeId& peer) const {
    return this->sender.Position(peer);
  }
  void AddTo(TransportCounters& counters) const;

 private:
  void Pump();
  void LogCongestion(utils::Timestamp now);

  asio::steady_timer timer;
  BulkSender sender;
  CongestionState congestion;
};

}  // namespace amaranthlatch::runtime::details
