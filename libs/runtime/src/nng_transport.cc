// The cache of links, keep-alive, and reports to the listener.

#include "amaranthlatch/runtime/nng_transport.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/thread_pool.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "amaranthlatch/runtime/connection_probe.h"
#include "keep_alive.h"
#include "nng_link.h"
#include "nng_receiver.h"

namespace amaranthlatch::runtime {

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

// Keep-alive messages without an answer after which a link counts as silent that owes one, and any
// other, or one whose peer still sends: that may be slow to answer.
constexpr std::size_t kSilentIntervals = 3;
constexpr std::size_t kPatientIntervals = 7;
// Intervals until a link is probed whatever it carried.
constexpr int kUnansweredIntervals = 8;
// Intervals for which a working link needs no probe on account of its peer's.
constexpr int kProvenIntervals = 2;

// A link within a zone stands after about 2 ms; one that does not by this time is probed.
constexpr utils::Duration kProbeDelay = utils::Milliseconds(20);

// The protocol header of a PUSH socket. nng's listener takes no connections for 100 ms after one
// that was closed without it.
constexpr std::string_view kPushHeader("\0SP\0\0\x50\0\0", 8);

}  // namespace

// Owned by the transport; completions hold weak references.
class NngTransport::Impl : public std::enable_shared_from_this<NngTransport::Impl> {
 public:
  Impl(asio::io_context& context, NngTransportOptions options, TransportListener& listener)
      : context(context),
        options(std::move(options)),
        listener(listener),
        codec(this->options.secret),
        tick(context) {}

  utils::Result<void> Listen() {
    details::NngReceiver::Options receive;
    receive.address = this->options.address;
    receive.max_message_bytes = this->options.max_message_bytes;
    receive.max_queued = this->options.max_received_messages;
    auto created = details::NngReceiver::Create(
        this->context, receive, [this](std::string bytes) { this->OnFrame(std::move(bytes)); });
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
    this->closer.join();
  }

  void Send(const membership::NodeId& to, OutgoingMessage message) {
    if (message.bytes.size() >= this->options.max_message_bytes) {
      ++this->counters.messages_too_large;
      this->ReportNotSent(std::move(message.not_sent));
      return;
    }
    Peer* const peer = this->FindOrDial(to);
    const auto not_sent = [this, report = std::move(message.not_sent)] {
      this->ReportNotSent(report);
    };
    if (peer == nullptr ||
        !peer->link->Send(details::MessageFrame(std::move(message.bytes)), not_sent)) {
      not_sent();
      return;
    }
    ++this->counters.messages_sent;
    peer->sent_at = std::chrono::steady_clock::now();
    if (message.answer_expected) {
      peer->asked_at = peer->sent_at;
      this->KeepEarlier(peer->answer_due, peer->sent_at + this->options.keep_alive_interval);
    }
    this->KeepEarlier(peer->probe_due,
                      peer->sent_at + kUnansweredIntervals * this->options.keep_alive_interval);
    this->ScheduleTick();
  }

  void NoteHeard(const membership::NodeId& id) {
    const auto found = this->links.find(id);
    if (found != this->links.end()) {
      found->second.heard_since_probe = true;
    }
  }

  // The answered message may be older than others that went silent: only the probe that is due for
  // want of an answer is put off.
  void NoteAnswered(const membership::NodeId& id) {
    const auto found = this->links.find(id);
    if (found != this->links.end()) {
      found->second.heard_since_probe = true;
      found->second.answer_due.reset();
    }
  }

  const TransportCounters& Counters() {
    this->counters.receive_pauses = this->receiver ? this->receiver->Pauses() : 0;
    return this->counters;
  }

  std::size_t LinkCount() const { return this->links.size(); }

 private:
  struct Probe {
    std::uint64_t nonce = 0;
    SteadyTime sent_at{};
  };

  struct Peer {
    std::unique_ptr<details::NngLink> link;
    std::unique_ptr<asio::steady_timer> dial_timer;
    std::list<membership::NodeId>::iterator use;
    // When to probe because an answer is due; none while none is.
    std::optional<SteadyTime> answer_due;
    // When to probe because of any message; none if all were sent before an answered probe.
    std::optional<SteadyTime> probe_due;
    // Of the latest message, and of the latest one that is to be answered.
    SteadyTime sent_at{};
    SteadyTime asked_at{};
    // Unanswered probes, the oldest first.
    std::vector<Probe> probes;
    // Whether the peer has sent a message since the oldest of them.
    bool heard_since_probe = false;
    // When the latest answered probe was sent; at first when the link was made.
    SteadyTime proven_at{};
    std::uint64_t serial = 0;
  };

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
    Peer peer;
    peer.serial = ++this->last_serial;
    peer.proven_at = std::chrono::steady_clock::now();
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
    peer.dial_timer = std::make_unique<asio::steady_timer>(this->context);
    Peer& stored = this->links[id] = std::move(peer);
    this->LimitDial(id, stored);
    return &stored;
  }

  details::NngLink::Events EventsOf(const membership::NodeId& id) {
    details::NngLink::Events events;
    events.on_up = [this, id] { this->links.at(id).dial_timer->cancel(); };
    events.on_down = [this, id] { this->Lose(id); };
    return events;
  }

  // nng dials in the background and does not say that a peer refuses. A connection of our own
  // shows that; a peer that does not answer is given up after the dial limit.
  void LimitDial(const membership::NodeId& id, Peer& peer) {
    this->After(*peer.dial_timer, kProbeDelay, [this, id, serial = peer.serial] {
      const auto found = this->links.find(id);
      if (found != this->links.end() && found->second.serial == serial) {
        this->ProbeDial(id, found->second);
      }
    });
  }

  void ProbeDial(const membership::NodeId& id, Peer& peer) {
    const std::uint64_t serial = peer.serial;
    this->After(*peer.dial_timer, this->options.dial_limit,
                [this, id, serial] { this->GiveUpDial(id, serial); });
    ProbeConnection(this->context, id, this->options.dial_limit, kPushHeader,
                    [weak = this->weak_from_this(), id, serial](ProbeResult result) {
                      const auto self = weak.lock();
                      if (self && result == ProbeResult::kRefused) {
                        self->GiveUpDial(id, serial);
                      }
                    });
  }

  void After(asio::steady_timer& timer, utils::Duration time, std::function<void()> action) {
    timer.expires_after(time);
    timer.async_wait(
        [weak = this->weak_from_this(), action = std::move(action)](const asio::error_code& error) {
          const auto self = weak.lock();
          if (!error && self) {
            action();
          }
        });
  }

  void GiveUpDial(const membership::NodeId& id, std::uint64_t serial) {
    const auto found = this->links.find(id);
    if (found != this->links.end() && found->second.serial == serial &&
        !found->second.link->IsUp()) {
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
    // Closed later: this may run within an event of the link.
    found->second.link->Detach();
    std::shared_ptr<details::NngLink> link = std::move(found->second.link);
    asio::post(this->context, [link = std::move(link)] {});
    this->uses.erase(found->second.use);
    this->links.erase(found);
  }

  void OnFrame(std::string frame) {
    if (frame.empty()) {
      return;
    }
    if (static_cast<details::FrameKind>(frame.front()) == details::FrameKind::kMessage) {
      ++this->counters.messages_received;
      frame.erase(0, 1);
      this->listener.OnMessage(std::move(frame));
      return;
    }
    if (const auto message = this->codec.Decode(frame)) {
      this->OnKeepAlive(*message);
    }
  }

  void OnKeepAlive(const details::KeepAlive& message) {
    if (message.kind == details::FrameKind::kKeepAlive) {
      Peer* const peer = this->FindOrDial(message.from);
      if (peer != nullptr) {
        this->SendKeepAlive(*peer, details::FrameKind::kKeepAliveAnswer, message.nonce);
        this->ProbeOnAccountOfPeer(*peer);
      }
      return;
    }
    const auto found = this->links.find(message.from);
    if (found != this->links.end()) {
      this->OnProbeAnswered(found->second, message.nonce);
    }
  }

  // The answer proves the link for all that was sent before the probe.
  void OnProbeAnswered(Peer& peer, std::uint64_t nonce) {
    const auto probe = std::find_if(peer.probes.begin(), peer.probes.end(),
                                    [nonce](const Probe& each) { return each.nonce == nonce; });
    if (probe == peer.probes.end()) {
      return;
    }
    peer.proven_at = probe->sent_at;
    peer.probes.clear();
    peer.heard_since_probe = false;
    peer.answer_due.reset();
    peer.probe_due.reset();
    if (peer.asked_at > peer.proven_at) {
      peer.answer_due = peer.asked_at + this->options.keep_alive_interval;
    }
    if (peer.sent_at > peer.proven_at) {
      peer.probe_due = peer.sent_at + kUnansweredIntervals * this->options.keep_alive_interval;
    }
  }

  // The peer lacks an answer: what this node sent may not have arrived.
  void ProbeOnAccountOfPeer(Peer& peer) {
    const SteadyTime now = std::chrono::steady_clock::now();
    if (now - peer.proven_at >= kProvenIntervals * this->options.keep_alive_interval) {
      this->KeepEarlier(peer.answer_due, now);
      this->ScheduleTick();
    }
  }

  static void KeepEarlier(std::optional<SteadyTime>& due, SteadyTime candidate) {
    due = due ? std::min(*due, candidate) : candidate;
  }

  void SendKeepAlive(Peer& peer, details::FrameKind kind, std::uint64_t nonce) {
    std::string frame = this->codec.Encode({kind, this->options.address, nonce});
    const std::size_t bytes = frame.size();
    if (peer.link->Send(std::move(frame), [] {})) {
      ++this->counters.keep_alives_sent;
      this->counters.keep_alive_bytes_sent += bytes;
    }
  }

  void ScheduleTick() {
    if (this->ticking) {
      return;
    }
    this->ticking = true;
    this->After(this->tick, this->options.keep_alive_interval, [this] { this->OnTick(); });
  }

  void OnTick() {
    this->ticking = false;
    const SteadyTime now = std::chrono::steady_clock::now();
    std::vector<membership::NodeId> silent;
    bool waiting = false;
    for (auto& [id, peer] : this->links) {
      if (!peer.answer_due && !peer.probe_due && peer.probes.empty()) {
        continue;
      }
      waiting = true;
      const bool is_due = !peer.probes.empty() || (peer.answer_due && now >= *peer.answer_due) ||
                          (peer.probe_due && now >= *peer.probe_due);
      if (!is_due || !peer.link->IsUp()) {
        continue;
      }
      const bool is_patient = !peer.answer_due || peer.heard_since_probe;
      if (peer.probes.size() >= (is_patient ? kPatientIntervals : kSilentIntervals)) {
        silent.push_back(id);
        continue;
      }
      peer.heard_since_probe = peer.heard_since_probe && !peer.probes.empty();
      peer.probes.push_back({++this->last_nonce, now});
      this->SendKeepAlive(peer, details::FrameKind::kKeepAlive, this->last_nonce);
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
  TransportCounters counters;
  std::uint64_t last_serial = 0;
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

void NngTransport::NoteHeard(const membership::NodeId& peer) { this->impl->NoteHeard(peer); }

void NngTransport::NoteAnswered(const membership::NodeId& peer) { this->impl->NoteAnswered(peer); }

const TransportCounters& NngTransport::Counters() const { return this->impl->Counters(); }

std::size_t NngTransport::LinkCount() const { return this->impl->LinkCount(); }

}  // namespace amaranthlatch::runtime
