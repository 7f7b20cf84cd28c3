// The cache of links, their timers, and reports to the listener.

#include "amaranthlatch/runtime/nng_transport.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/thread_pool.hpp>
#include <functional>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "transport/bulk_channel.h"
#include "transport/dial_watch.h"
#include "transport/fragment.h"
#include "transport/keep_alive.h"
#include "transport/link_proof.h"
#include "transport/monotonic_time.h"
#include "transport/nng_link.h"
#include "transport/nng_receiver.h"
#include "transport/reassembly.h"

namespace amaranthlatch::runtime {

using details::MonotonicNow;

// Owned by the transport; completions hold weak references.
class NngTransport::Impl : public std::enable_shared_from_this<NngTransport::Impl>,
                           public details::BulkLinks {
 public:
  Impl(asio::io_context& context, NngTransportOptions options, TransportListener& listener)
      : context(context),
        options(std::move(options)),
        listener(listener),
        codec(this->options.secret),
        tick(context),
        reassembly({this->options.max_reassembly_bytes, this->options.max_message_bytes}) {
    if (this->options.link_bytes_per_second > 0) {
      const details::BulkPacerOptions pacing{this->options.link_bytes_per_second,
                                             this->options.max_bulk_bytes};
      this->bulk = std::make_shared<details::BulkChannel>(context, pacing, *this);
    }
  }

  utils::Result<void> Listen() {
    details::NngReceiver::Options receive;
    receive.address = this->options.address;
    receive.max_message_bytes = this->options.max_message_bytes;
    receive.max_queued = this->options.max_received_messages;
    auto created = details::NngReceiver::Create(
        this->context, receive,
        [this](Connection connection, std::string bytes) {
          this->OnFrame(connection, std::move(bytes));
        },
        [this](Connection connection) { this->reassembly.Close(connection); });
    if (!created) {
      return tl::unexpected(created.error());
    }
    this->receiver = std::move(*created);
    return {};
  }

  void Stop() {
    this->receiver.reset();
    this->links.clear();
    this->tick.cancel();
    this->bulk.reset();
    this->closer.join();
  }

  void Send(const membership::NodeId& to, OutgoingMessage message) {
    if (message.bytes.size() >= this->options.max_message_bytes) {
      ++this->counters.messages_too_large;
      this->ReportNotSent(std::move(message.not_sent));
      return;
    }
    Peer* const peer = this->FindOrDial(to);
    if (peer != nullptr && this->bulk && this->bulk->Takes(to, message)) {
      if (this->bulk->Send(to, message)) {
        ++this->counters.messages_sent;
      } else {
        this->ReportNotSent(std::move(message.not_sent));
      }
      return;
    }
    const auto not_sent = [this, report = std::move(message.not_sent)] {
      this->ReportNotSent(report);
    };
    const std::size_t bytes = message.bytes.size();
    if (peer == nullptr ||
        !peer->link->Send(details::MessageFrame(std::move(message.bytes)), not_sent)) {
      not_sent();
      return;
    }
    ++this->counters.messages_sent;
    this->ChargeLink(bytes);
    peer->proof.OnSent(message.answer_expected, MonotonicNow());
    this->ScheduleTick();
  }

  bool HasStream(const membership::NodeId& peer, std::uint64_t stream) const {
    return this->bulk && this->bulk->HasStream(peer, stream);
  }

  void DropStream(const membership::NodeId& peer, std::uint64_t stream) {
    if (this->bulk) {
      this->bulk->DropStream(peer, stream);
    }
  }

  void ChargeLink(std::size_t bytes) {
    if (this->bulk) {
      this->bulk->Charge(bytes);
    }
  }

  void NoteHeard(const membership::NodeId& id) {
    const auto found = this->links.find(id);
    if (found != this->links.end()) {
      found->second.proof.OnHeard();
    }
  }

  void NoteAnswered(const membership::NodeId& id) {
    const auto found = this->links.find(id);
    if (found != this->links.end()) {
      found->second.proof.OnMessageAnswered();
    }
  }

  const TransportCounters& Counters() {
    this->counters.receive_pauses = this->receiver ? this->receiver->Pauses() : 0;
    this->counters.reassemblies_dropped = this->reassembly.Dropped();
    if (this->bulk) {
      this->bulk->AddTo(this->counters);
    }
    return this->counters;
  }

  std::size_t LinkCount() const { return this->links.size(); }

 private:
  using Connection = details::NngReceiver::Connection;

  struct Peer {
    explicit Peer(utils::Duration interval) : proof(interval, MonotonicNow()) {}

    std::unique_ptr<details::NngLink> link;
    std::shared_ptr<details::DialWatch> dial_watch;
    std::list<membership::NodeId>::iterator use;
    details::LinkProof proof;
  };

  bool IsUp(const membership::NodeId& peer) const override {
    const auto found = this->links.find(peer);
    return found != this->links.end() && found->second.link->IsUp();
  }

  bool HandOver(const membership::NodeId& id, const std::string& frame, bool is_request) override {
    const auto found = this->links.find(id);
    if (found == this->links.end() || !found->second.link->TrySend(frame)) {
      return false;
    }
    this->uses.splice(this->uses.begin(), this->uses, found->second.use);
    found->second.proof.OnSent(is_request, MonotonicNow());
    this->ScheduleTick();
    return true;
  }

  void SendAtOnce(const membership::NodeId& id, std::string frame) override {
    const auto found = this->links.find(id);
    if (found != this->links.end()) {
      found->second.link->Send(std::move(frame), [] {});
    }
  }

  bool SendMarker(const membership::NodeId& id, std::uint64_t position) override {
    const auto found = this->links.find(id);
    if (found == this->links.end() ||
        !this->SendKeepAlive(found->second, details::FrameKind::kKeepAlive, this->last_nonce + 1)) {
      return false;
    }
    found->second.proof.OnMarkerSent({++this->last_nonce, MonotonicNow(), position});
    return true;
  }

  void ReportNotSent(std::function<void()> report) {
    ++this->counters.messages_not_sent;
    asio::post(this->context, [weak = this->weak_from_this(), report = std::move(report)] {
      if (const auto self = weak.lock()) {
        report();
      }
    });
  }

  Peer* FindOrDial(const membership::NodeId& id) {
    const auto found = this->links.find(id);
    if (found != this->links.end()) {
      this->uses.splice(this->uses.begin(), this->uses, found->second.use);
      return &found->second;
    }
    if (this->links.size() >= this->options.max_links) {
      ++this->counters.links_evicted;
      this->Close(membership::NodeId(this->uses.back()));
    }
    return this->Dial(id);
  }

  Peer* Dial(const membership::NodeId& id) {
    Peer peer(this->options.keep_alive_interval);
    auto link = details::NngLink::Create(
        this->context, {id, this->options.max_waiting_messages, this->options.max_waiting_bytes},
        this->EventsOf(id),
        [this](std::function<void()> work) { asio::post(this->closer, std::move(work)); });
    if (!link) {
      return nullptr;
    }
    ++this->counters.links_opened;
    peer.link = std::move(*link);
    this->uses.push_front(id);
    peer.use = this->uses.begin();
    peer.dial_watch = details::DialWatch::Start(this->context, id, this->options.dial_limit,
                                                [this, id] { this->GiveUpDial(id); });
    return &this->links.insert_or_assign(id, std::move(peer)).first->second;
  }

  details::NngLink::Events EventsOf(const membership::NodeId& id) {
    details::NngLink::Events events;
    events.on_up = [this, id] {
      this->links.at(id).dial_watch->Stop();
      if (this->bulk) {
        this->bulk->OnUp(id);
      }
    };
    events.on_down = [this, id] { this->Lose(id); };
    return events;
  }

  void GiveUpDial(const membership::NodeId& id) {
    if (!this->IsUp(id)) {
      this->Lose(id);
    }
  }

  // By value: the argument may be part of the link that is closed.
  void Lose(membership::NodeId id) {
    ++this->counters.links_lost;
    this->Close(id);
    asio::post(this->context, [weak = this->weak_from_this(), peer = std::move(id)] {
      if (const auto self = weak.lock()) {
        self->listener.OnPeerLost(peer);
      }
    });
  }

  // Messages that nng has not been given are reported as not sent.
  void Close(const membership::NodeId& id) {
    const auto found = this->links.find(id);
    if (found == this->links.end()) {
      return;
    }
    found->second.link->DropWaiting();
    if (this->bulk) {
      for (std::function<void()>& report : this->bulk->OnClosed(id)) {
        this->ReportNotSent(std::move(report));
      }
    }
    // Closed later: this may run within an event of the link.
    found->second.link->Detach();
    std::shared_ptr<details::NngLink> link = std::move(found->second.link);
    asio::post(this->context, [link = std::move(link)] {});
    this->uses.erase(found->second.use);
    this->links.erase(found);
  }

  void OnFrame(Connection connection, std::string frame) {
    if (frame.empty()) {
      return;
    }
    const auto kind = static_cast<details::FrameKind>(frame.front());
    if (kind == details::FrameKind::kMessage) {
      frame.erase(0, 1);
      this->Deliver(std::move(frame));
      return;
    }
    if (kind == details::FrameKind::kFragment) {
      if (auto message = this->reassembly.Take(connection, frame, MonotonicNow())) {
        this->Deliver(std::move(*message));
      }
      return;
    }
    if (const auto message = this->codec.Decode(frame)) {
      this->OnKeepAlive(*message);
    }
  }

  void Deliver(std::string message) {
    ++this->counters.messages_received;
    this->listener.OnMessage(std::move(message));
  }

  void OnKeepAlive(const details::KeepAlive& message) {
    if (message.kind == details::FrameKind::kKeepAlive) {
      Peer* const peer = this->FindOrDial(message.from);
      if (peer != nullptr) {
        this->SendKeepAlive(*peer, details::FrameKind::kKeepAliveAnswer, message.nonce);
        // The peer lacks an answer: what this node sent may not have arrived.
        peer->proof.OnPeerProbes(MonotonicNow());
        if (peer->proof.IsWaiting()) {
          this->ScheduleTick();
        }
      }
      return;
    }
    const auto found = this->links.find(message.from);
    if (found == this->links.end()) {
      return;
    }
    const auto probe = found->second.proof.OnAnswered(message.nonce);
    if (probe && this->bulk) {
      this->bulk->OnAnswered(message.from, *probe);
    }
  }

  bool SendKeepAlive(Peer& peer, details::FrameKind kind, std::uint64_t nonce) {
    std::string frame = this->codec.Encode({kind, this->options.address, nonce});
    const std::size_t bytes = frame.size();
    if (!peer.link->Send(std::move(frame), [] {})) {
      return false;
    }
    ++this->counters.keep_alives_sent;
    this->counters.keep_alive_bytes_sent += bytes;
    this->ChargeLink(bytes);
    return true;
  }

  std::uint64_t PositionOf(const membership::NodeId& id) const {
    return this->bulk ? this->bulk->Position(id) : 0;
  }

  void ScheduleTick() {
    if (this->ticking) {
      return;
    }
    this->ticking = true;
    this->tick.expires_after(this->options.keep_alive_interval);
    this->tick.async_wait([weak = this->weak_from_this()](const asio::error_code& error) {
      const auto self = weak.lock();
      if (!error && self) {
        self->OnTick();
      }
    });
  }

  void OnTick() {
    this->ticking = false;
    const utils::Timestamp now = MonotonicNow();
    std::vector<membership::NodeId> silent;
    bool waiting = false;
    for (auto& [id, peer] : this->links) {
      waiting = waiting || peer.proof.IsWaiting();
      switch (peer.proof.OnInterval(peer.link->IsUp(), now)) {
        case details::LinkProof::Verdict::kWait:
          break;
        case details::LinkProof::Verdict::kSilent:
          silent.push_back(id);
          break;
        case details::LinkProof::Verdict::kProbe:
          peer.proof.OnProbeSent({++this->last_nonce, now, this->PositionOf(id)});
          this->SendKeepAlive(peer, details::FrameKind::kKeepAlive, this->last_nonce);
      }
    }
    for (const membership::NodeId& id : silent) {
      ++this->counters.links_silent;
      this->Lose(id);
    }
    if (waiting) {
      this->ScheduleTick();
    }
  }

  asio::io_context& context;
  const NngTransportOptions options;
  TransportListener& listener;
  const details::KeepAliveCodec codec;
  asio::steady_timer tick;
  bool ticking = false;
  asio::thread_pool closer{1};
  std::unique_ptr<details::NngReceiver> receiver;
  std::unordered_map<membership::NodeId, Peer> links;
  // Most recently used first.
  std::list<membership::NodeId> uses;
  // None without a known rate of the link.
  std::shared_ptr<details::BulkChannel> bulk;
  details::Reassembly reassembly;
  TransportCounters counters;
  std::uint64_t last_nonce = 0;
};

utils::Result<std::unique_ptr<NngTransport>> NngTransport::Create(asio::io_context& context,
                                                                  NngTransportOptions options,
                                                                  TransportListener& listener) {
  auto impl = std::make_shared<Impl>(context, std::move(options), listener);
  if (auto listening = impl->Listen(); !listening) {
    impl->Stop();
    return tl::unexpected(listening.error());
  }
  return std::unique_ptr<NngTransport>(new NngTransport(std::move(impl)));
}

NngTransport::NngTransport(std::shared_ptr<Impl> impl) : impl(std::move(impl)) {}

NngTransport::~NngTransport() { this->impl->Stop(); }

void NngTransport::Send(const membership::NodeId& to, OutgoingMessage message) {
  this->impl->Send(to, std::move(message));
}

bool NngTransport::HasStream(const membership::NodeId& peer, std::uint64_t stream) const {
  return this->impl->HasStream(peer, stream);
}

void NngTransport::DropStream(const membership::NodeId& peer, std::uint64_t stream) {
  this->impl->DropStream(peer, stream);
}

void NngTransport::ChargeLink(std::size_t bytes) { this->impl->ChargeLink(bytes); }

void NngTransport::NoteHeard(const membership::NodeId& peer) { this->impl->NoteHeard(peer); }

void NngTransport::NoteAnswered(const membership::NodeId& peer) { this->impl->NoteAnswered(peer); }

const TransportCounters& NngTransport::Counters() const { return this->impl->Counters(); }

std::size_t NngTransport::LinkCount() const { return this->impl->LinkCount(); }

}  // namespace amaranthlatch::runtime
