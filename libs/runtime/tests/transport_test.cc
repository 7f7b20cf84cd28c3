// Tests of the transport between nodes.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include "amaranthlatch/runtime/nng_transport.h"
#include "test_support.h"
#include "transport/keep_alive.h"

namespace amaranthlatch::runtime {

namespace {

struct Recorder : TransportListener {
  void OnMessage(std::string bytes) override { this->messages.push_back(std::move(bytes)); }
  void OnPeerLost(const membership::NodeId& peer) override { this->lost.push_back(peer); }

  std::vector<std::string> messages;
  std::vector<std::string> not_sent;
  std::vector<std::string> lost;
};

struct TestNode {
  TestNode(asio::io_context& context, NngTransportOptions options) {
    options.address = FreeAddress();
    options.secret = "secret";
    this->address = options.address;
    this->transport = *NngTransport::Create(context, options, this->recorder);
  }

  void Send(const std::string& to, const std::string& text, bool answer_expected,
            std::uint64_t stream = 0) {
    const auto not_sent = [this, text] { this->recorder.not_sent.push_back(text); };
    this->transport->Send(to,
                          {text, answer_expected, not_sent, document::Priority::kNormal, stream});
  }

  std::string address;
  Recorder recorder;
  std::unique_ptr<NngTransport> transport;
};

// Takes bytes and never answers: a link that went silent after the handshake, in which each side
// sends the 8 bytes of its protocol header.
class SilentPeer {
 public:
  explicit SilentPeer(asio::io_context& context)
      : server(context, [](ScriptedServer::Connection&, int) {}) {}

  std::string Address() const { return this->server.Address(); }

  // Ends the handshakes of connections that came since the last call.
  void Greet() {
    const std::string pull_header("\0SP\0\0\x51\0\0", 8);
    for (; this->greeted < this->server.open.size(); ++this->greeted) {
      this->server.open[this->greeted]->Write(pull_header);
    }
  }

 private:
  ScriptedServer server;
  std::size_t greeted = 0;
};

// Answers keep-alive messages after a delay, as a peer with a long queue does, and may read slowly,
// as one behind a narrow link. Speaks the protocol of nng over TCP: a header of 8 bytes each way,
// then messages behind 8 bytes of length.
class LatePeer {
 public:
  LatePeer(asio::io_context& context, const std::string& to, std::chrono::milliseconds delay,
           std::chrono::milliseconds read_interval = std::chrono::milliseconds(0))
      : context(context),
        delay(delay),
        read_interval(read_interval),
        read_timer(context),
        acceptor(context, {asio::ip::address_v4::loopback(), 0}),
        incoming(context),
        outgoing(context) {
    const auto port = static_cast<std::uint16_t>(std::stoi(to.substr(to.find(':') + 1)));
    this->outgoing.connect({asio::ip::address_v4::loopback(), port});
    asio::write(this->outgoing, asio::buffer("\0SP\0\0\x50\0\0", 8));
    this->acceptor.async_accept(this->incoming, [this](const asio::error_code& error) {
      if (!error) {
        asio::write(this->incoming, asio::buffer("\0SP\0\0\x51\0\0", 8));
        this->Read();
      }
    });
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
  }

 private:
  static constexpr std::size_t kPrefixBytes = 8;

  void Read() {
    this->incoming.async_read_some(asio::buffer(this->buffer),
                                   [this](const asio::error_code& error, std::size_t bytes) {
                                     if (error) {
                                       return;
                                     }
                                     this->received.append(this->buffer.data(), bytes);
                                     this->TakeFrames();
                                     this->read_timer.expires_after(this->read_interval);
                                     this->read_timer.async_wait([this](const auto& stopped) {
                                       if (!stopped) {
                                         this->Read();
                                       }
                                     });
                                   });
  }

  void TakeFrames() {
    // The header of the connection stands before the first message.
    while (this->received.size() >= this->start + kPrefixBytes) {
      const std::size_t first = this->start + kPrefixBytes;
      std::size_t length = 0;
      for (std::size_t i = this->start; i < first; ++i) {
        length = length << 8U | static_cast<unsigned char>(this->received[i]);
      }
      if (this->received.size() < first + length) {
        return;
      }
      if (const auto message = this->codec.Decode(this->received.substr(first, length))) {
        this->AnswerLater(message->nonce);
      }
      this->start = first + length;
    }
  }

  void AnswerLater(std::uint64_t nonce) {
    auto timer = std::make_shared<asio::steady_timer>(this->context, this->delay);
    timer->async_wait([this, timer, nonce](const asio::error_code& /*error*/) {
      const std::string frame =
          this->codec.Encode({details::FrameKind::kKeepAliveAnswer, this->Address(), nonce});
      std::string prefix(kPrefixBytes, '\0');
      prefix.back() = static_cast<char>(frame.size());
      asio::write(this->outgoing, asio::buffer(prefix + frame));
    });
  }

  asio::io_context& context;
  const std::chrono::milliseconds delay;
  const std::chrono::milliseconds read_interval;
  asio::steady_timer read_timer;
  const details::KeepAliveCodec codec{"secret"};
  asio::ip::tcp::acceptor acceptor;
  asio::ip::tcp::socket incoming;
  asio::ip::tcp::socket outgoing;
  std::array<char, 4096> buffer{};
  std::string received;
  std::size_t start = kPrefixBytes;
};

// A link of 2 Mbit/s, of which a body takes 0.4 s.
NngTransportOptions SlowLink() {
  NngTransportOptions options;
  options.link_bytes_per_second = 250'000;
  return options;
}

std::string Body(char first) {
  std::string body(100'000, first);
  for (std::size_t i = 1; i < body.size(); ++i) {
    body[i] = static_cast<char>(i * 7 + i / 8192);
  }
  return body;
}

}  // namespace

TEST_GROUP(TransportTest) { asio::io_context context; };

// Guards against lost or reordered messages on a link that is just being made.
TEST(TransportTest, DeliversInOrder) {
  TestNode first(context, {});
  TestNode second(context, {});
  for (int i = 0; i < 200; ++i) {
    first.Send(second.address, std::to_string(i), false);
  }
  CHECK_TRUE(RunUntil(context, [&] { return second.recorder.messages.size() == 200; }));
  for (int i = 0; i < 200; ++i) {
    STRCMP_EQUAL(std::to_string(i).c_str(), second.recorder.messages[i].c_str());
  }
  LONGS_EQUAL(0, first.recorder.not_sent.size());
}

// Guards against a call that waits for a dead node until its deadline.
TEST(TransportTest, ReportsNotSentToADeadPeer) {
  TestNode first(context, {});
  const std::string dead = FreeAddress();
  first.Send(dead, "call", true);
  CHECK_TRUE(RunUntil(context, [&] { return !first.recorder.lost.empty(); }));
  CHECK_TRUE(RunUntil(context, [&] { return !first.recorder.not_sent.empty(); }));
  CHECK_TRUE(first.recorder.not_sent == std::vector<std::string>{"call"});
  STRCMP_EQUAL(dead.c_str(), first.recorder.lost.front().c_str());
}

// Guards against a node that is believed reachable after its death.
TEST(TransportTest, ReportsALostPeerAndDialsAnew) {
  TestNode first(context, {});
  auto second = std::make_unique<TestNode>(context, NngTransportOptions{});
  const std::string address = second->address;
  first.Send(address, "one", false);
  CHECK_TRUE(RunUntil(context, [&] { return second->recorder.messages.size() == 1; }));
  second.reset();
  CHECK_TRUE(RunUntil(context, [&] { return first.recorder.lost.size() == 1; }));
  LONGS_EQUAL(0, first.transport->LinkCount());
  LONGS_EQUAL(0, first.recorder.not_sent.size());
}

// Guards against memory that a single message or a slow peer can take without bound.
TEST(TransportTest, BoundsMessagesAndQueues) {
  NngTransportOptions options;
  options.max_message_bytes = 1000;
  options.max_waiting_messages = 3;
  TestNode first(context, options);
  TestNode second(context, {});
  const std::string large(1000, 'x');
  first.Send(second.address, large, false);
  for (int i = 0; i < 5; ++i) {
    first.Send(second.address, "m", false);
  }
  CHECK_TRUE(RunUntil(context, [&] { return second.recorder.messages.size() == 3; }));
  CHECK_TRUE(RunUntil(context, [&] { return first.recorder.not_sent.size() == 3; }));
  CHECK_TRUE(first.recorder.not_sent.front() == large);
  LONGS_EQUAL(1, first.transport->Counters().messages_too_large);
}

// Guards against links without bound when a node talks to the whole mesh.
TEST(TransportTest, BoundsLinks) {
  NngTransportOptions options;
  options.max_links = 2;
  TestNode first(context, options);
  std::vector<std::unique_ptr<TestNode>> others;
  for (int i = 0; i < 4; ++i) {
    others.push_back(std::make_unique<TestNode>(context, NngTransportOptions{}));
    first.Send(others.back()->address, "m", false);
    CHECK_TRUE(RunUntil(context, [&] { return others.back()->recorder.messages.size() == 1; }));
    CHECK_TRUE(first.transport->LinkCount() <= 2);
  }
  LONGS_EQUAL(2, first.transport->Counters().links_evicted);
}

// Guards against a flood of received messages that grows the process without bound.
TEST(TransportTest, HoldsSendersBackWhileTheLoopIsBusy) {
  NngTransportOptions options;
  options.max_received_messages = 4;
  TestNode first(context, {});
  TestNode second(context, options);
  for (int i = 0; i < 100; ++i) {
    first.Send(second.address, std::string(1000, 'x'), false);
  }
  CHECK_TRUE(RunUntil(context, [&] { return second.recorder.messages.size() == 100; }));
}

// Guards against a link that went silent and is kept, and against one that is replaced although
// its peer lives.
TEST(TransportTest, ReplacesSilentLinksOnly) {
  NngTransportOptions options;
  options.keep_alive_interval = utils::Milliseconds(30);
  TestNode first(context, options);
  TestNode second(context, {});
  first.Send(second.address, "call", true);
  RunFor(context, std::chrono::milliseconds(300));
  LONGS_EQUAL(0, first.recorder.lost.size());
  SilentPeer silent(context);
  first.Send(silent.Address(), "call", true);
  CHECK_TRUE(RunUntil(context, [&] {
    silent.Greet();
    return !first.recorder.lost.empty();
  }));
  LONGS_EQUAL(1, first.transport->Counters().links_silent);
}

// Guards against a link that went silent and carries answers and notices only, so that nothing due
// on it shows the loss: all of them vanished for good.
TEST(TransportTest, SilentLinkOfAnswersIsReplaced) {
  NngTransportOptions options;
  options.keep_alive_interval = utils::Milliseconds(20);
  TestNode first(context, options);
  SilentPeer silent(context);
  first.Send(silent.Address(), "answer", false);
  CHECK_TRUE(RunUntil(context, [&] {
    silent.Greet();
    return !first.recorder.lost.empty();
  }));
  LONGS_EQUAL(1, first.transport->Counters().links_silent);
}

// Guards against a link that went silent in one direction and is kept because its peer, whose own
// link works, goes on sending.
TEST(TransportTest, SilentLinkIsReplacedWhileItsPeerSends) {
  NngTransportOptions options;
  options.keep_alive_interval = utils::Milliseconds(20);
  TestNode first(context, options);
  SilentPeer silent(context);
  first.Send(silent.Address(), "call", true);
  CHECK_TRUE(RunUntil(context, [&] {
    silent.Greet();
    first.transport->NoteHeard(silent.Address());
    return !first.recorder.lost.empty();
  }));
  LONGS_EQUAL(1, first.transport->Counters().links_silent);
}

// Guards against a link that is taken for working because the peer answers older messages.
TEST(TransportTest, SilentLinkIsReplacedWhileOlderMessagesAreAnswered) {
  NngTransportOptions options;
  options.keep_alive_interval = utils::Milliseconds(20);
  TestNode first(context, options);
  SilentPeer silent(context);
  first.Send(silent.Address(), "notice", false);
  CHECK_TRUE(RunUntil(context, [&] {
    silent.Greet();
    first.transport->NoteAnswered(silent.Address());
    return !first.recorder.lost.empty();
  }));
  LONGS_EQUAL(1, first.transport->Counters().links_silent);
}

// Guards against a sound link that is closed because its peer is slow: each answer to a keep-alive
// message comes after the next one was sent.
TEST(TransportTest, LinkOfSlowPeerIsKept) {
  NngTransportOptions options;
  options.keep_alive_interval = utils::Milliseconds(50);
  TestNode first(context, options);
  LatePeer slow(context, first.address, std::chrono::milliseconds(80));
  for (int i = 0; i < 12; ++i) {
    first.Send(slow.Address(), "call", true);
    RunFor(context, std::chrono::milliseconds(70));
  }
  LONGS_EQUAL(0, first.recorder.lost.size());
  CHECK_TRUE(first.transport->Counters().keep_alives_sent >= 4);
}

// Guards against two idle nodes whose probes go on for good because each answers the other's.
TEST(TransportTest, ProbesEndOnceMessagesDo) {
  NngTransportOptions options;
  options.keep_alive_interval = utils::Milliseconds(20);
  TestNode first(context, options);
  TestNode second(context, options);
  first.Send(second.address, "call", true);
  second.Send(first.address, "answer", false);
  RunFor(context, std::chrono::milliseconds(600));
  const std::uint64_t sent =
      first.transport->Counters().keep_alives_sent + second.transport->Counters().keep_alives_sent;
  CHECK_TRUE(sent > 0);
  RunFor(context, std::chrono::milliseconds(400));
  LONGS_EQUAL(sent, first.transport->Counters().keep_alives_sent +
                        second.transport->Counters().keep_alives_sent);
}

// Guards against small messages that wait behind large ones to the same peer, against a pace above
// the link's rate, and against large messages that arrive changed.
TEST(TransportTest, SmallMessagesPassBulk) {
  TestNode first(context, SlowLink());
  TestNode second(context, {});
  const std::string body = Body('a');
  const auto begun = std::chrono::steady_clock::now();
  first.Send(second.address, body, true, 7);
  first.Send(second.address, "after the body", false, 7);
  CHECK_TRUE(RunUntil(context, [&] { return first.transport->Counters().bulk_fragments > 1; }));
  first.Send(second.address, "small", false);
  CHECK_TRUE(RunUntil(context, [&] { return second.recorder.messages.size() == 3; }));
  CHECK_TRUE(std::chrono::steady_clock::now() - begun > std::chrono::milliseconds(380));
  CHECK_TRUE(second.recorder.messages ==
             (std::vector<std::string>{"small", body, "after the body"}));
  LONGS_EQUAL(14, first.transport->Counters().bulk_fragments);
  LONGS_EQUAL(0, first.transport->Counters().bulk_waiting_bytes);
}

// Guards against "not sent" for a message that may have arrived, against one that is lost without a
// report although none of it has left, and against parts that are delivered or kept.
TEST(TransportTest, BulkOnALostLinkIsReportedIfNoneOfItLeft) {
  TestNode first(context, SlowLink());
  auto second = std::make_unique<TestNode>(context, NngTransportOptions{});
  const std::string address = second->address;
  first.Send(address, Body('a'), false);
  first.Send(address, Body('b'), false);
  CHECK_TRUE(RunUntil(context, [&] { return first.transport->Counters().bulk_fragments > 1; }));
  CHECK_TRUE(second->recorder.messages.empty());
  second.reset();
  CHECK_TRUE(RunUntil(context, [&] { return !first.recorder.lost.empty(); }));
  CHECK_TRUE(first.recorder.not_sent == std::vector<std::string>{Body('b')});
  LONGS_EQUAL(1, first.transport->Counters().bulk_messages_incomplete);

  TestNode third(context, {});
  {
    TestNode sender(context, SlowLink());
    sender.Send(third.address, Body('c'), false);
    CHECK_TRUE(RunUntil(context, [&] { return sender.transport->Counters().bulk_fragments > 1; }));
  }
  CHECK_TRUE(
      RunUntil(context, [&] { return third.transport->Counters().reassemblies_dropped == 1; }));
  CHECK_TRUE(third.recorder.messages.empty());
}

// Guards against answers to cancelled calls that go on taking the link, and against those that stay
// in the memory of the receiver.
TEST(TransportTest, DroppedStreamLeavesTheLink) {
  TestNode first(context, SlowLink());
  TestNode second(context, {});
  first.Send(second.address, Body('a'), false, 7);
  first.Send(second.address, Body('b'), false, 8);
  CHECK_TRUE(RunUntil(context, [&] { return first.transport->Counters().bulk_fragments > 1; }));
  first.transport->DropStream(second.address, 7);
  CHECK_TRUE(RunUntil(context, [&] { return second.recorder.messages.size() == 1; }));
  CHECK_TRUE(second.recorder.messages.front() == Body('b'));
  LONGS_EQUAL(1, second.transport->Counters().reassemblies_dropped);
  CHECK_TRUE(first.recorder.not_sent.empty());
  CHECK_TRUE(first.transport->Counters().bulk_fragments < 20);
}

// Guards against a link that is lost only because bodies on it keep probes waiting: the peer reads
// 200 KB in a second, so that all of them together take five seconds.
TEST(TransportTest, BusyLinkIsKept) {
  NngTransportOptions options;
  options.keep_alive_interval = utils::Milliseconds(100);
  options.link_bytes_per_second = 10'000'000;
  TestNode first(context, options);
  LatePeer slow(context, first.address, std::chrono::milliseconds(0),
                std::chrono::milliseconds(20));
  for (int i = 0; i < 10; ++i) {
    first.Send(slow.Address(), Body('a'), true);
  }
  RunFor(context, std::chrono::milliseconds(3000));
  LONGS_EQUAL(0, first.recorder.lost.size());
  CHECK_TRUE(first.transport->Counters().bulk_fragments > 40);
  CHECK_TRUE(first.transport->Counters().bulk_waiting_bytes > 0);
}

// Guards against a silent link that is kept because bytes are put on it.
TEST(TransportTest, SilentLinkWithBulkIsReplaced) {
  NngTransportOptions options = SlowLink();
  options.keep_alive_interval = utils::Milliseconds(50);
  TestNode first(context, options);
  SilentPeer silent(context);
  for (int i = 0; i < 5; ++i) {
    first.Send(silent.Address(), Body('a'), false);
  }
  const auto begun = std::chrono::steady_clock::now();
  CHECK_TRUE(RunUntil(context, [&] {
    silent.Greet();
    return !first.recorder.lost.empty();
  }));
  // Without bulk, a link that carries answers only is probed after 8 intervals and lost 7 later.
  CHECK_TRUE(std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(16 * 50));
  LONGS_EQUAL(1, first.transport->Counters().links_silent);
}

// Guards against another form on the wire where no rate is known: nodes of earlier builds drop
// fragments.
TEST(TransportTest, WithoutARateMessagesAreSentWhole) {
  TestNode first(context, {});
  ScriptedServer peer(context, [](ScriptedServer::Connection&, int) {});
  first.Send(peer.Address(), Body('a'), false, 7);
  CHECK_TRUE(RunUntil(context, [&] { return !peer.open.empty(); }));
  peer.open[0]->Write(std::string("\0SP\0\0\x51\0\0", 8));
  const std::string length("\0\0\0\0\0\x01\x86\xa1", 8);
  const std::string expected =
      std::string("\0SP\0\0\x50\0\0", 8) + length + std::string(1, '\0') + Body('a');
  CHECK_TRUE(RunUntil(context, [&] { return peer.open[0]->received.size() >= expected.size(); }));
  CHECK_TRUE(peer.open[0]->received == expected);
}

// Guards against keep-alive messages of strangers.
TEST(TransportTest, KeepAliveNeedsTheSecret) {
  const details::KeepAliveCodec codec("secret");
  const details::KeepAlive message{details::FrameKind::kKeepAlive, "127.0.0.1:7000", 77};
  std::string frame = codec.Encode(message);
  CHECK_TRUE(codec.Decode(frame) == message);
  CHECK_FALSE(details::KeepAliveCodec("other").Decode(frame).has_value());
  frame[3] = static_cast<char>(frame[3] ^ 1);
  CHECK_FALSE(codec.Decode(frame).has_value());
  CHECK_FALSE(codec.Decode("").has_value());
}

}  // namespace amaranthlatch::runtime
