// Fragments from messages, and which peers are ready for them.

#include "transport/bulk_sender.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "transport/fragment.h"

namespace amaranthlatch::runtime::details {

namespace {
// A link of 11 Mbit/s sends a fragment in 6 ms.
constexpr utils::Duration kBusyInterval = utils::Milliseconds(5);
}  // namespace

bool BulkSender::Add(const membership::NodeId& peer, OutgoingMessage& message) {
  const auto [entry, is_new] = this->peers.try_emplace(peer, this->link_bytes_per_second);
  Peer& state = entry->second;
  if (is_new) {
    state.up = this->links.IsUp(peer);
  }
  // A message follows the earlier ones of its stream, whatever its class.
  const auto stream = state.streams.find(message.stream);
  if (stream != state.streams.end()) {
    message.priority = this->messages.at(stream->second.front()).content.priority;
  }
  if (!this->pacer.Add(peer, this->last_number + 1, message.priority, message.bytes.size())) {
    return false;
  }
  const Number number = ++this->last_number;
  if (message.stream != 0) {
    state.streams[message.stream].push_back(number);
  }
  this->messages[number].content = std::move(message);
  ++this->message_count;
  this->UpdateReady(peer, state);
  return true;
}

bool BulkSender::HasStream(const membership::NodeId& peer, std::uint64_t stream) const {
  const auto found = this->peers.find(peer);
  return found != this->peers.end() && found->second.streams.contains(stream);
}

void BulkSender::DropStream(const membership::NodeId& peer, std::uint64_t stream) {
  const auto found = this->peers.find(peer);
  if (found == this->peers.end() || !found->second.streams.contains(stream)) {
    return;
  }
  for (const Number number : std::vector<Number>(found->second.streams.at(stream))) {
    const Message& message = this->messages.at(number);
    if (message.link_number != 0) {
      ++this->incomplete_count;
      const FragmentHead end{message.link_number,
                             static_cast<std::uint32_t>(message.content.bytes.size()),
                             static_cast<std::uint32_t>(message.sent)};
      this->links.SendAtOnce(peer, EncodeFragment(end, {}));
    }
    this->pacer.Remove(peer, number);
    this->Forget(found->second, number);
  }
}

void BulkSender::OnUp(const membership::NodeId& peer) {
  const auto found = this->peers.find(peer);
  if (found != this->peers.end()) {
    found->second.up = true;
    this->UpdateReady(peer, found->second);
  }
}

std::vector<std::function<void()>> BulkSender::OnClosed(const membership::NodeId& peer) {
  std::vector<std::function<void()>> reports;
  for (const Number number : this->pacer.RemovePeer(peer)) {
    const auto message = this->messages.find(number);
    if (message->second.link_number == 0) {
      reports.push_back(std::move(message->second.content.not_sent));
    } else {
      ++this->incomplete_count;
    }
    this->messages.erase(message);
  }
  this->peers.erase(peer);
  return reports;
}

void BulkSender::OnAnswered(const membership::NodeId& peer, std::uint64_t position,
                            utils::Timestamp sent_at, utils::Timestamp now) {
  const auto found = this->peers.find(peer);
  if (found != this->peers.end()) {
    found->second.window.OnAnswered(position, sent_at, now);
    this->UpdateReady(peer, found->second);
  }
}

std::uint64_t BulkSender::Position(const membership::NodeId& peer) const {
  const auto found = this->peers.find(peer);
  return found == this->peers.end() ? 0 : found->second.window.Position();
}

std::optional<utils::Timestamp> BulkSender::Pump(utils::Timestamp now) {
  this->RetryBusy(now);
  while (const auto piece = this->pacer.Next(now)) {
    this->SendPiece(*piece, now);
  }
  const auto next = this->pacer.NextTime();
  return next && this->retry_at ? std::min(*next, *this->retry_at) : (next ? next : this->retry_at);
}

void BulkSender::RetryBusy(utils::Timestamp now) {
  if (!this->retry_at || *this->retry_at > now) {
    return;
  }
  this->retry_at.reset();
  for (auto& [id, peer] : this->peers) {
    if (peer.busy) {
      peer.busy = false;
      this->UpdateReady(id, peer);
    }
  }
}

void BulkSender::SendPiece(const BulkPacer::Piece& piece, utils::Timestamp now) {
  Peer& peer = this->peers.at(piece.peer);
  Message& message = this->messages.at(piece.message);
  const std::string_view bytes = message.content.bytes;
  const bool is_last = piece.offset + piece.length == bytes.size();
  const std::uint64_t link_number =
      message.link_number == 0 ? peer.last_link_number + 1 : message.link_number;
  const FragmentHead head{link_number, static_cast<std::uint32_t>(bytes.size()),
                          static_cast<std::uint32_t>(piece.offset)};
  const std::string frame = EncodeFragment(head, bytes.substr(piece.offset, piece.length));
  if (!this->links.HandOver(piece.peer, frame, is_last && message.content.answer_expected)) {
    peer.busy = true;
    this->retry_at = this->retry_at.value_or(now + kBusyInterval);
    this->UpdateReady(piece.peer, peer);
    return;
  }
  ++this->fragment_count;
  peer.last_link_number = std::max(peer.last_link_number, link_number);
  message.link_number = link_number;
  message.sent = piece.offset + piece.length;
  if (this->pacer.Sent(piece, now)) {
    this->Forget(peer, piece.message);
  }
  peer.window.OnSent(piece.length);
  if (peer.window.MarkerDue() && this->links.SendMarker(piece.peer, peer.window.Position())) {
    peer.window.OnMarkerSent();
  }
  this->UpdateReady(piece.peer, peer);
}

void BulkSender::Forget(Peer& peer, Number number) {
  const auto message = this->messages.find(number);
  const auto stream = peer.streams.find(message->second.content.stream);
  if (stream != peer.streams.end()) {
    std::erase(stream->second, number);
    if (stream->second.empty()) {
      peer.streams.erase(stream);
    }
  }
  this->messages.erase(message);
}

void BulkSender::UpdateReady(const membership::NodeId& id, const Peer& peer) {
  this->pacer.SetReady(id, peer.up && !peer.busy && peer.window.IsOpen());
}

}  // namespace amaranthlatch::runtime::details
