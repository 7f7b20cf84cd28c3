// Tests of fragments, of the proof of a link, and of the properties of messages.

#include "transport/reassembly.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "transport/congestion_state.h"
#include "transport/link_proof.h"
#include "transport/message_class.h"

namespace amaranthlatch::runtime::details {

namespace {

using utils::Milliseconds;
using utils::Seconds;
using utils::Timestamp;

constexpr ReassemblyOptions kOptions{100, 1000, 4, 2, Seconds(30)};

std::string Frame(std::uint64_t message, std::uint32_t total, std::uint32_t offset,
                  const std::string& content) {
  return EncodeFragment({message, total, offset}, content);
}

}  // namespace

TEST_GROUP(Reassembly) {
  Reassembly reassembly{kOptions};
  Timestamp now{Seconds(100)};

  bool Take(Reassembly::Connection connection, const std::string& frame) {
    return reassembly.Take(connection, frame, now).has_value();
  }
};

// Guards against fragments of several senders and messages that are mixed up.
TEST(Reassembly, MessagesOfSeveralSendersAreInterleaved) {
  CHECK_FALSE(Take(1, Frame(1, 6, 0, "abc")));
  CHECK_FALSE(Take(2, Frame(1, 6, 0, "ABC")));
  CHECK_FALSE(Take(1, Frame(2, 4, 0, "12")));
  CHECK_TRUE(reassembly.Take(1, Frame(2, 4, 2, "34"), now) == std::string("1234"));
  CHECK_TRUE(reassembly.Take(2, Frame(1, 6, 3, "DEF"), now) == std::string("ABCDEF"));
  CHECK_TRUE(reassembly.Take(1, Frame(1, 6, 3, "def"), now) == std::string("abcdef"));
  LONGS_EQUAL(0, reassembly.Bytes());
  LONGS_EQUAL(0, reassembly.Dropped());
}

// Guards against a message that is delivered in part, twice, or with bytes of another one.
TEST(Reassembly, DropsWhatIsMissingOrWrong) {
  const std::vector<std::vector<std::string>> cases = {
      {Frame(1, 6, 0, "ab"), Frame(1, 6, 4, "ef"), Frame(1, 6, 2, "cd")},     // one is missing
      {Frame(1, 6, 0, "ab"), Frame(1, 6, 0, "ab"), Frame(1, 6, 2, "cdef")},   // one comes twice
      {Frame(1, 6, 0, "ab"), Frame(1, 5, 2, "cde"), Frame(1, 6, 2, "cdef")},  // other length
      {Frame(1, 6, 0, "ab"), Frame(1, 6, 2, ""), Frame(1, 6, 2, "cdef")},     // given up
      {Frame(1, 6, 0, "ab"), Frame(1, 6, 2, "cdefg"), Frame(1, 6, 2, "c")},   // too long
      {Frame(2, 2, 1, "b"), Frame(2, 2, 0, "a"), Frame(1, 2, 0, "ab")},  // begun late, old number
  };
  Reassembly::Connection connection = 0;
  for (const std::vector<std::string>& frames : cases) {
    ++connection;
    for (const std::string& frame : frames) {
      CHECK_FALSE(Take(connection, frame));
    }
    reassembly.Close(connection);
    LONGS_EQUAL(connection, reassembly.Dropped());
  }
  CHECK_TRUE(Take(9, Frame(1, 2, 0, "ab")));
  CHECK_FALSE(Take(9, Frame(1, 2, 0, "ab")));
  CHECK_FALSE(Take(9, Frame(1, 2, 0, "ab").substr(0, 10)));
}

// Guards against memory that senders take without bound or for good.
TEST(Reassembly, BoundsMemory) {
  CHECK_FALSE(Take(1, Frame(1, 60, 0, "a")));
  CHECK_FALSE(Take(2, Frame(1, 60, 0, "a")));  // above the bytes
  CHECK_FALSE(Take(1, Frame(2, 10, 0, "a")));
  CHECK_FALSE(Take(1, Frame(3, 10, 0, "a")));  // above the sender's count
  LONGS_EQUAL(2, reassembly.Dropped());
  LONGS_EQUAL(70, reassembly.Bytes());
  now += Seconds(31);
  CHECK_FALSE(Take(2, Frame(2, 900, 0, "a")));  // alone, and the others are too old
  LONGS_EQUAL(900, reassembly.Bytes());
  LONGS_EQUAL(4, reassembly.Dropped());
  reassembly.Close(2);
  CHECK_FALSE(Take(2, Frame(3, 1001, 0, "a")));
  LONGS_EQUAL(0, reassembly.Bytes());
}

TEST_GROUP(LinkProof) {
  static constexpr utils::Duration kInterval = Milliseconds(250);
  Timestamp now{Seconds(1)};
  LinkProof proof{kInterval, now};
  std::uint64_t nonce = 0;

  // Intervals until the link counts as silent, with a marker in each, of which every second one is
  // answered.
  int IntervalsUntilSilent(bool asked, bool answered) {
    constexpr int kLimit = 200;
    proof = LinkProof(kInterval, now);
    proof.OnSent(asked, now);
    for (int i = 0; i < kLimit; ++i) {
      proof.OnSent(false, now);
      proof.OnMarkerSent({++nonce, now, 0});
      if (answered && i % 2 == 0) {
        proof.OnAnswered(nonce);
      }
      now += kInterval;
      switch (proof.OnInterval(true, now)) {
        case LinkProof::Verdict::kSilent:
          return i + 1;
        case LinkProof::Verdict::kProbe:
          proof.OnProbeSent({++nonce, now, 0});
          break;
        case LinkProof::Verdict::kWait:
          break;
      }
    }
    return kLimit;
  }
};

// Guards against a busy link that is taken for silent, and against a silent one that is kept
// because bytes are put on it.
TEST(LinkProof, LinkThatMovesBytesIsAlive) {
  LONGS_EQUAL(200, IntervalsUntilSilent(true, true));
  LONGS_EQUAL(200, IntervalsUntilSilent(false, true));
  LONGS_EQUAL(4, IntervalsUntilSilent(true, false));
  LONGS_EQUAL(8, IntervalsUntilSilent(false, false));
}

// A transport in which some streams wait.
struct WaitingTransport : Transport {
  void Send(const membership::NodeId& /*to*/, OutgoingMessage /*message*/) override {}
  bool HasStream(const membership::NodeId& peer, std::uint64_t stream) const override {
    return this->waiting.contains({peer, stream});
  }
  void DropStream(const membership::NodeId& peer, std::uint64_t stream) override {
    this->waiting.erase({peer, stream});
  }
  void ChargeLink(std::size_t /*bytes*/) override {}
  void NoteHeard(const membership::NodeId& /*peer*/) override {}
  void NoteAnswered(const membership::NodeId& /*peer*/) override {}
  const TransportCounters& Counters() const override { return this->counters; }

  std::set<std::pair<membership::NodeId, std::uint64_t>> waiting;
  TransportCounters counters;
};

TEST_GROUP(MessageClasses) {
  MessageClasses classes;
  WaitingTransport transport;
  const calls::AttemptId id{"10.0.0.1:1", 2, 3, 4};

  std::uint64_t Stream() const {
    calls::CallReply reply;
    reply.id = id;
    return classes.Describe(calls::Message(reply)).stream;
  }
  bool Prepare(calls::Message message) {
    node::Message whole(std::move(message));
    return MessageClasses::Prepare("gate", whole, transport);
  }
};

// Guards against replies that lose the class of their request, and updates that overtake those on
// which they build.
TEST(MessageClasses, RepliesAndUpdatesAreDescribed) {
  calls::CallRequest request;
  request.id = id;
  request.priority = document::Priority::kInteractive;
  classes.OnReceived("entry", calls::Message(request), transport);
  calls::CallReply reply;
  reply.id = id;
  CHECK_TRUE(classes.Describe(calls::Message(reply)).priority == request.priority);
  CHECK_TRUE(classes.Describe(calls::Message(request)).stream == Stream());
  const OutgoingMessage update = classes.Describe(directory::Message(directory::Update()));
  CHECK_TRUE(update.stream != 0 && update.priority == document::Priority::kInternal);
}

// Guards against cancelled attempts that go on taking the link, against a request that is refused
// because a question about it overtook it, and against an entry that gives up while its reply
// waits.
TEST(MessageClasses, CancelsConsiderWhatWaits) {
  transport.waiting = {{"gate", Stream()}, {"entry", Stream()}};
  CHECK_FALSE(Prepare(calls::CallCancel{id, 5, false}));
  CHECK_TRUE(Prepare(calls::CallCancel{id, 5, true}));
  CHECK_TRUE(Prepare(calls::CallCancel{id, 5, false}));
  for (const bool is_waiting : {true, false}) {
    node::Message ended(calls::Message(calls::CallCancelReply{id, true, false}));
    CHECK_TRUE(MessageClasses::Prepare("entry", ended, transport));
    CHECK_TRUE(ended ==
               node::Message(calls::Message(calls::CallCancelReply{id, true, is_waiting})));
    classes.OnReceived("entry", calls::Message(calls::CallCancel{id, 5, false}), transport);
    CHECK_TRUE(transport.HasStream("entry", Stream()) == is_waiting);
    classes.OnReceived("entry", calls::Message(calls::CallCancel{id, 5, true}), transport);
  }
  CHECK_TRUE(transport.waiting.empty());
}

// Guards against a log line for every large body.
TEST_GROUP(CongestionState){};
TEST(CongestionState, ChangesAreHeldOff) {
  CongestionState state;
  int changes = 0;
  for (int i = 0; i < 1000; ++i) {
    const utils::Duration wait = Milliseconds(i < 500 ? (i % 3) * 300 : (i < 800 ? 400 : 20));
    changes += state.Update(wait, Timestamp(Milliseconds(std::int64_t{10} * i))) ? 1 : 0;
    CHECK_TRUE(i != 799 || (changes == 1 && state.IsCongested()));
  }
  LONGS_EQUAL(2, changes);
  CHECK_FALSE(state.IsWatched());
}

}  // namespace amaranthlatch::runtime::details
