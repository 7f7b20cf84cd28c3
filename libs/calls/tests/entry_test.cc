// Tests of the entry side: fences, retries and correct answers.

#include <CppUTest/TestHarness.h>

#include <string>

#include "mesh.h"

namespace amaranthlatch::calls::testing {

using utils::ErrorCode;
using utils::Milliseconds;
using utils::Seconds;

// Node 0 is not ready as a gate, so that every call crosses the network.
TEST_GROUP(Entry) {
  Mesh mesh{3, 1};

  void setup() override { this->mesh.Publish(0, membership::MemberState::kJoining); }

  // Drops the first `count` messages of type T.
  template <typename T>
  void DropFirst(int count) {
    this->mesh.filter = [count](std::size_t, std::size_t, const Message& message) mutable {
      return !std::holds_alternative<T>(message) || count-- <= 0;
    };
  }
  Answer CallAndWait(const std::string& path, const std::string& body) {
    const std::uint64_t call = this->mesh.Call(0, path, body);
    this->mesh.RunFor(Seconds(4));
    return this->mesh.AnswerOf(call);
  }
  const Counters& EntryCounters() { return this->mesh.nodes[0].calls->GetCounters(); }
  void teardown() override { STRCMP_EQUAL("", this->mesh.FirstError().c_str()); }
};

// Guards against a lost request that ends as unknown although a fence proves that it never ran.
TEST(Entry, LostRequestIsFencedAndSentElsewhere) {
  this->DropFirst<CallRequest>(1);
  const Answer answer = this->CallAndWait("/write", "a");
  CHECK_TRUE(answer.kind == ResultKind::kAnswered);
  CHECK_EQUAL(1, this->mesh.RunsOf("a"));
  CHECK_EQUAL(1, this->EntryCounters().fences_not_run);
}

// Guards against a second run of a request whose answer was lost, and against a false "not run".
TEST(Entry, LostReplyOfAWriteIsUnknown) {
  this->DropFirst<CallReply>(1);
  const Answer answer = this->CallAndWait("/write", "a");
  CHECK_TRUE(answer.kind == ResultKind::kUnknown);
  CHECK_EQUAL(1, this->mesh.RunsOf("a"));
}

// Guards against an idempotent call that fails although another backend server can answer it.
TEST(Entry, LostReplyOfAReadIsRetriedElsewhere) {
  this->DropFirst<CallReply>(1);
  CHECK_TRUE(this->CallAndWait("/read", "a").kind == ResultKind::kAnswered);
  CHECK_EQUAL(1, this->EntryCounters().services.at("fleet").answered[1]);
}

// Guards against callers that wait indefinitely if the gate never answers the fence.
TEST(Entry, UnansweredFenceEndsAsUnknownInTime) {
  this->mesh.filter = [](std::size_t, std::size_t to, const Message&) { return to == 0; };
  const std::uint64_t call = this->mesh.Call(0, "/write", "a");
  this->mesh.RunFor(Milliseconds(2'500));
  CHECK_TRUE(this->mesh.AnswerOf(call).kind == ResultKind::kUnknown);
  CHECK_TRUE(this->EntryCounters().fences_unanswered > 0);
}

// Guards against a delayed copy that runs after the gate has answered the fence with "not run".
TEST(Entry, RequestThatArrivesAfterItsFenceIsRefused) {
  std::optional<CallRequest> held;
  std::size_t gate = 0;
  this->mesh.filter = [&](std::size_t, std::size_t to, const Message& message) {
    const auto* request = std::get_if<CallRequest>(&message);
    if (request == nullptr || held) {
      return true;
    }
    held = *request;
    gate = to;
    return false;
  };
  CHECK_TRUE(this->CallAndWait("/write", "a").kind == ResultKind::kAnswered);
  this->mesh.Deliver(gate, PeerMessage{this->mesh.NodeName(0), *held});
  this->mesh.RunFor(Seconds(1));
  CHECK_EQUAL(1, this->mesh.RunsOf("a"));
}

// Guards against a late answer to an earlier attempt that is discarded while the read still waits.
TEST(Entry, LateAnswerOfAnEarlierAttemptIsUsedForARead) {
  std::optional<CallReply> late;
  this->mesh.filter = [&](std::size_t, std::size_t, const Message& message) {
    const auto* reply = std::get_if<CallReply>(&message);
    if (reply != nullptr && !late) {
      late = *reply;
    }
    return reply == nullptr;
  };
  const std::uint64_t call = this->mesh.Call(0, "/read", "a");
  this->mesh.RunFor(Milliseconds(900));
  CHECK_TRUE(this->EntryCounters().retries > 0);
  this->mesh.Deliver(0, PeerMessage{late->id.entry, *late});
  CHECK_TRUE(this->mesh.AnswerOf(call).kind == ResultKind::kAnswered);
  // The call has ended, so a second copy of the answer is ignored.
  this->mesh.Deliver(0, PeerMessage{late->id.entry, *late});
  CHECK_EQUAL(1, this->EntryCounters().ignored_replies);
}

// Guards against a reply for another process of the entry node that is matched to a call of this
// process.
TEST(Entry, ReplyToAnotherProcessIsIgnored) {
  CallReply forged;
  this->mesh.filter = [&](std::size_t, std::size_t, const Message& message) {
    if (const auto* reply = std::get_if<CallReply>(&message)) {
      forged = *reply;
    }
    return !std::holds_alternative<CallReply>(message);
  };
  const std::uint64_t call = this->mesh.Call(0, "/write", "a");
  this->mesh.RunFor(Milliseconds(100));
  forged.id.entry_boot_id += 1;
  this->mesh.Deliver(0, PeerMessage{forged.id.entry, forged});
  CHECK_FALSE(this->mesh.OutcomeOf(call).answer.has_value());
}

// Guards against a message that never left the process being treated as sent.
TEST(Entry, AttemptNotSentIsNotRun) {
  this->mesh.filter = [](std::size_t, std::size_t, const Message&) { return false; };
  const std::uint64_t call = this->mesh.Call(0, "/write", "a");
  const std::string entry = this->mesh.NodeName(0);
  for (std::uint32_t attempt = 1; attempt <= 3; ++attempt) {
    this->mesh.Deliver(0, AttemptNotSent{{entry, this->mesh.nodes[0].boot, call, attempt}});
    this->mesh.RunFor(Milliseconds(300));
  }
  CHECK_TRUE(this->mesh.AnswerOf(call).kind == ResultKind::kNotRun);
}

// Guards against a broken link being treated as proof that the request did not run.
TEST(Entry, PeerUnreachableDoesNotProveNotRun) {
  this->mesh.nodes[1].backend.service_time = Seconds(1);
  this->mesh.nodes[2].backend.service_time = Seconds(1);
  const std::uint64_t call = this->mesh.Call(0, "/write", "a");
  this->mesh.RunFor(Milliseconds(20));
  const int runs = this->mesh.RunsOf("a");
  this->mesh.network.partitioned = {{0, 1}, {0, 2}};
  this->mesh.Deliver(0, PeerUnreachable{this->mesh.NodeName(1)});
  this->mesh.Deliver(0, PeerUnreachable{this->mesh.NodeName(2)});
  this->mesh.RunFor(Seconds(1));
  CHECK_EQUAL(1, runs);
  CHECK_TRUE(this->mesh.AnswerOf(call).kind == ResultKind::kUnknown);
  // Fails well before the deadline of the route.
  CHECK_TRUE(this->mesh.OutcomeOf(call).ended - this->mesh.OutcomeOf(call).sent < Seconds(1));
}

// Guards against a restarted gate that answers "not run" for attempts of its previous process.
TEST(Entry, RestartedGateCannotSayNotRun) {
  this->mesh.nodes[1].backend.service_time = Seconds(3);
  this->mesh.nodes[2].backend.service_time = Seconds(3);
  const std::uint64_t call = this->mesh.Call(0, "/write", "a");
  this->mesh.RunFor(Milliseconds(100));
  const std::size_t gate = this->mesh.nodes[1].backend.running.empty() ? 2 : 1;
  this->mesh.KillNode(gate);
  this->mesh.StartNode(gate);
  this->mesh.RunFor(Seconds(4));
  CHECK_EQUAL(1, this->mesh.RunsOf("a"));
  CHECK_TRUE(this->mesh.AnswerOf(call).kind == ResultKind::kUnknown);
}

// Guards against retries that multiply the load during an outage.
TEST(Entry, RetriesStayWithinTheBudget) {
  this->mesh.KillBackend(1);
  this->mesh.KillBackend(2);
  for (int i = 0; i < 300; ++i) {
    this->mesh.Call(0, "/read", std::to_string(i));
    this->mesh.RunFor(Milliseconds(10));
  }
  this->mesh.RunFor(Seconds(4));
  // The budget is the burst of 10 plus 10 percent of the calls.
  CHECK_TRUE(this->EntryCounters().retries <= 40);
  CHECK_TRUE(this->EntryCounters().retries >= 30);
  CHECK_EQUAL(300, this->EntryCounters().not_run);
}

// Guards against retries at several levels of a call chain.
TEST(Entry, AnswerMarkedNoRetryIsPassedOn) {
  this->mesh.filter = [this](std::size_t from, std::size_t, const Message& message) {
    const auto* reply = std::get_if<CallReply>(&message);
    if (reply == nullptr || reply->answer.no_retry) {
      return true;
    }
    CallReply marked = *reply;
    marked.answer = Answer{ResultKind::kNotRun, ErrorCode::kQueueFull, "deeper", {}, true, {}};
    this->mesh.At({}, [this, from, marked] {
      this->mesh.Deliver(0, PeerMessage{this->mesh.NodeName(from), marked});
    });
    return false;
  };
  const Answer answer = this->CallAndWait("/read", "a");
  CHECK_TRUE(answer.kind == ResultKind::kNotRun && answer.no_retry);
  CHECK_EQUAL(1, this->EntryCounters().attempts);
}

// Guards against calls without a route, without a required permit, with a too large request or at
// a closed entry node that reach a gate.
TEST(Entry, RefusesCallsThatItCannotSend) {
  CHECK_TRUE(this->CallAndWait("/none", "a").code == ErrorCode::kNoRoute);
  CHECK_TRUE(this->CallAndWait("/permit", "a").code == ErrorCode::kPermitRequired);
  CHECK_TRUE(this->CallAndWait("/read", std::string(5'000, 'x')).code ==
             ErrorCode::kRequestTooLarge);
  this->mesh.Deliver(0, AdmissionChanged{false});
  CHECK_TRUE(this->CallAndWait("/read", "a").code == ErrorCode::kNodeNotReady);
  CHECK_EQUAL(0, this->EntryCounters().attempts);
  CHECK_EQUAL(4, this->EntryCounters().not_run);
}

// Guards against unbounded memory use by the requests of open calls.
TEST(Entry, BytesOfOpenCallsAreBounded) {
  Options options;
  options.entry.max_open_bytes = 20'000;
  Mesh small(1, 1, options);
  small.nodes[0].backend.mode = BackendMode::kSilent;
  for (int i = 0; i < 4; ++i) {
    small.Call(0, "/write", std::string(3'000, static_cast<char>('a' + i)));
  }
  CHECK_EQUAL(1, small.nodes[0].calls->GetCounters().not_run);
  small.RunFor(Seconds(4));
  small.nodes[0].backend.mode = BackendMode::kNormal;
  const std::uint64_t call = small.Call(0, "/write", std::string(3'000, 'z'));
  small.RunFor(Seconds(1));
  CHECK_TRUE(small.AnswerOf(call).kind == ResultKind::kAnswered);
}

// Guards against an entry node that ignores the deadline of the caller.
TEST(Entry, CallersDeadlineEndsTheCall) {
  this->mesh.nodes[1].backend.mode = BackendMode::kSilent;
  this->mesh.nodes[2].backend.mode = BackendMode::kSilent;
  const std::uint64_t call = this->mesh.Call(0, "/write", "a", "", Milliseconds(200));
  this->mesh.RunFor(Seconds(4));
  CHECK_TRUE(this->mesh.AnswerOf(call).code == ErrorCode::kDeadlineExceeded);
  CHECK_TRUE(this->mesh.AnswerOf(call).kind == ResultKind::kUnknown);
  CHECK_TRUE(this->mesh.OutcomeOf(call).ended - this->mesh.OutcomeOf(call).sent <
             Milliseconds(700));
}

// Guards against moves between gates that are charged to the retry budget, and against an unbounded
// number of moves.
TEST(Entry, MovesBeforeBackendContactAreUnbudgetedAndBounded) {
  Options options;
  options.entry.max_uncounted_moves = 3;
  Mesh own(3, 1, options);
  own.Publish(0, membership::MemberState::kJoining);
  own.KillBackend(1);
  own.KillBackend(2);
  for (int i = 0; i < 20; ++i) {
    own.Call(0, "/write", std::to_string(i));
    own.RunFor(Milliseconds(50));
  }
  own.RunFor(Seconds(4));
  const Counters& counters = own.nodes[0].calls->GetCounters();
  CHECK_EQUAL(20, counters.not_run);
  CHECK_EQUAL(80, counters.attempts);
  CHECK_EQUAL(0, counters.retries);
}

}  // namespace amaranthlatch::calls::testing
