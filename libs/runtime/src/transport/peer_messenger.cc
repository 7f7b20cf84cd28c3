// Between the envelope and the transport.

#include "transport/peer_messenger.h"

#include <asio/post.hpp>
#include <utility>

#include "amaranthlatch/runtime/log_line.h"
#include "amaranthlatch/runtime/traffic.h"
#include "settings/register_options.h"

namespace amaranthlatch::runtime::details {

utils::Result<std::unique_ptr<PeerMessenger>> PeerMessenger::Create(
    asio::io_context& context, const RegisterSettings& settings, const MemoryPlan& memory,
    std::uint64_t boot_id, Report report, std::function<bool()> is_stopped) {
  auto envelope = node::Envelope::Create(settings.node_address, boot_id, settings.secret);
  if (!envelope) {
    return tl::unexpected(envelope.error());
  }
  std::unique_ptr<PeerMessenger> messenger(
      new PeerMessenger(context, *std::move(envelope), std::move(report), std::move(is_stopped)));
  auto transport =
      NngTransport::Create(context, MakeTransportOptions(settings, memory), *messenger);
  if (!transport) {
    return tl::unexpected(transport.error());
  }
  messenger->transport = *std::move(transport);
  return messenger;
}

PeerMessenger::PeerMessenger(asio::io_context& context, node::Envelope envelope, Report report,
                             std::function<bool()> is_stopped)
    : context(context),
      envelope(std::move(envelope)),
      report(std::move(report)),
      is_stopped(std::move(is_stopped)) {}

void PeerMessenger::Send(node::SendMessage message) {
  if (!MessageClasses::Prepare(message.to, message.message, *this->transport)) {
    return;
  }
  auto sealed = this->envelope.Seal(message.to, message.message);
  OutgoingMessage outgoing = this->classes.Describe(message.message);
  // Shared, because the callback is copied on its way.
  const auto content = std::make_shared<const node::Message>(std::move(message.message));
  outgoing.not_sent = [this, to = message.to, content] {
    this->report(node::MessageNotSent{to, *content});
  };
  if (!sealed) {
    LogLine("message-not-sealed").Add("code", utils::ToNumber(sealed.error().code)).Warn();
    asio::post(this->context, outgoing.not_sent);
    return;
  }
  outgoing.bytes = std::move(*sealed);
  this->transport->Send(message.to, std::move(outgoing));
}

void PeerMessenger::OnMessage(std::string bytes) {
  auto opened = this->envelope.Open(bytes);
  if (!opened || this->is_stopped()) {
    return;
  }
  if (KindOf(opened->message).is_answer) {
    this->transport->NoteAnswered(opened->sender);
  } else {
    this->transport->NoteHeard(opened->sender);
  }
  this->classes.OnReceived(opened->sender, opened->message, *this->transport);
  this->report(node::MessageReceived{std::move(opened->sender), std::move(opened->message)});
}

void PeerMessenger::OnPeerLost(const membership::NodeId& peer) {
  LogLine("peer-lost").Add("id", peer).Info();
  this->report(node::PeerUnreachable{peer});
}

}  // namespace amaranthlatch::runtime::details
