// Tests of refusals under overload: when they come, what they advise, and what a gate admits before
// it knows how long its calls take.

#include <CppUTest/TestHarness.h>

#include <string>

#include "mesh.h"

namespace amaranthlatch::calls::testing {

using utils::ErrorCode;
using utils::Milliseconds;
using utils::Seconds;

// Node 0 is an entry; the gates of nodes 1 and 2 are simulated by Answer. The route /read has a
// target latency of 300 ms.
TEST_GROUP(Overload) {
  Options options;
  std::unique_ptr<Mesh> mesh;
  // Requests and when they were sent.
  std::vector<std::pair<utils::Timestamp, CallRequest>> requests;
  // The reply to each request after a delay; empty for none.
  std::function<std::optional<CallReply>(const CallRequest&)> answer;
  utils::Duration reply_delay = Milliseconds(1);

  void setup() override {
    this->options.entry.max_uncounted_moves = 3;
    this->mesh = std::make_unique<Mesh>(3, 1, this->options);
    for (std::size_t i = 0; i < 3; ++i) {
      this->mesh->SetPolicy(
          i, std::make_unique<ExpectedTimePolicy>(ExpectedTimePolicy::Costs{Milliseconds(10)}));
    }
    this->mesh->Publish(0, membership::MemberState::kJoining);
    document::ServiceDocument document = FleetDocument();
    FindRoute(document, "read")->target_latency = Milliseconds(300);
    this->mesh->routes.Set(document);
    this->mesh->filter = [this](std::size_t, std::size_t to, const Message& message) {
      if (const auto* request = std::get_if<CallRequest>(&message)) {
        this->requests.emplace_back(this->mesh->Now(), *request);
        if (const auto reply = this->answer(*request)) {
          this->mesh->At(this->reply_delay, [this, to, reply] {
            this->mesh->Deliver(0, PeerMessage{this->mesh->NodeName(to), *reply});
          });
        }
      }
      return false;
    };
  }
  // Refuses every request as a gate whose calls wait for this long.
  void RefuseAll(std::uint32_t wait_ms, ErrorCode code = ErrorCode::kQueueFull) {
    this->answer = [wait_ms, code](const CallRequest& request) {
      CallReply reply;
      reply.id = request.id;
      reply.answer.kind = ResultKind::kNotRun;
      reply.answer.code = code;
      reply.load.in_flight = code == ErrorCode::kQueueFull ? 4 : 1;
      reply.load.wait_ms.fill(wait_ms);
      return reply;
    };
  }
  // Sends a call and returns the time until its answer.
  utils::Duration TimeToAnswer() {
    const std::uint64_t call = this->mesh->Call(0, "/read", "x");
    this->mesh->RunFor(Milliseconds(400));
    this->last = this->mesh->OutcomeOf(call);
    return this->last.ended - this->last.sent;
  }
  // Sends a call with this target latency to the gate of node 1.
  void SendToGate(document::Priority priority, utils::Duration target) {
    CallRequest request;
    request.id = AttemptId{this->mesh->NodeName(0), 9, ++this->last_call, 1};
    request.gate_incarnation = this->mesh->nodes[1].incarnation;
    request.gate_boot_id = this->mesh->nodes[1].boot;
    request.service = "fleet";
    request.route = "read";
    request.request.body = std::to_string(this->last_call);
    request.remaining = Seconds(20);
    request.latency_budget = target;
    request.max_response_bytes = 100;
    request.priority = priority;
    request.fingerprint = this->last_call;
    this->mesh->Deliver(1, PeerMessage{this->mesh->NodeName(0), request});
  }
  CallOutcome last;
  std::uint64_t last_call = 0;
};

// Guards against refusals that come after moves with pauses between them, moves to gates that would
// refuse as well, and callers that all return at the same time or while the queues are still full.
TEST(Overload, RefusalsComeAtOnceWithAdvice) {
  this->RefuseAll(800);
  CHECK_TRUE(this->TimeToAnswer() < Milliseconds(10));
  CHECK_EQUAL(2, this->requests.size());
  // Both gates have reported their waits, so that nothing is sent.
  this->requests.clear();
  CHECK_TRUE(this->TimeToAnswer() == utils::Duration{});
  CHECK_TRUE(this->requests.empty());
  CHECK_TRUE(this->last.answer->code == ErrorCode::kQueueFull);
  const auto first = this->last.answer->retry_after;
  // Half of the reported wait at least, doubled at most.
  CHECK_TRUE(first && *first >= Milliseconds(400) && *first <= Milliseconds(1'600));
  const Answer second = this->mesh->AnswerOf(this->mesh->Call(0, "/read", "y"));
  const Answer third = this->mesh->AnswerOf(this->mesh->Call(0, "/read", "z"));
  CHECK_TRUE(second.retry_after && second.retry_after != third.retry_after);
}

// Guards against callers that wait for a queue which a refusal by the backend server says nothing
// about, so that they cannot come back twice within the target latency of 300 ms.
TEST(Overload, RefusalsByTheServerAdviseShortWaits) {
  this->RefuseAll(0, ErrorCode::kBackendShed);
  this->TimeToAnswer();
  CHECK_TRUE(this->last.answer->code == ErrorCode::kBackendShed);
  const auto first = this->last.answer->retry_after;
  CHECK_TRUE(first && *first >= Milliseconds(15) && *first <= Milliseconds(30));
  this->TimeToAnswer();
  CHECK_TRUE(this->last.answer->retry_after != first);
  // A queue at the gate counts nevertheless.
  this->RefuseAll(200, ErrorCode::kBackendShed);
  this->TimeToAnswer();
  CHECK_TRUE(this->last.answer->retry_after >= Milliseconds(100));
}

// Guards against a retry that waits although another server may run the call, and against tokens
// of the retry budget that are lost for retries which are not made.
TEST(Overload, RefusalsByTheServerAreRetriedElsewhereAtOnce) {
  this->RefuseAll(0, ErrorCode::kBackendShed);
  this->TimeToAnswer();
  CHECK_EQUAL(3, this->requests.size());
  CHECK_TRUE(this->requests[1].second.gate_boot_id != this->requests[0].second.gate_boot_id);
  CHECK_TRUE(this->requests[1].first - this->requests[0].first == Milliseconds(1));
  // Both have been asked, so that one of them is asked again.
  CHECK_TRUE(this->requests[2].first - this->requests[1].first > Milliseconds(5));
}

// Guards against tokens of the retry budget that are spent on retries which are not made, and
// against refusals that wait although no retry is possible.
TEST(Overload, OnlyRetriesThatAreMadeAreCharged) {
  document::ServiceDocument document = FleetDocument();
  FindRoute(document, "read")->target_latency = Milliseconds(300);
  document.protection.retry_budget_percent = 0;
  this->mesh->routes.Set(document);
  this->RefuseAll(1'000, ErrorCode::kBackendShed);
  // The second attempt of a call is refused as well; a third one would be late at both gates.
  for (int i = 0; i < 20; ++i) {
    this->TimeToAnswer();
    this->mesh->RunFor(Seconds(2));
  }
  CHECK_EQUAL(20 + 10, this->requests.size());
  CHECK_TRUE(this->TimeToAnswer() == Milliseconds(1));
}

// Guards against a retry that is paid for twice because a gate refused it before its server did.
TEST(Overload, RetryThatReachedNoServerMovesOn) {
  this->answer = [this](const CallRequest& request) {
    CallReply reply;
    reply.id = request.id;
    reply.answer.kind = ResultKind::kNotRun;
    reply.answer.code =
        this->requests.size() == 2 ? ErrorCode::kQueueFull : ErrorCode::kBackendShed;
    return reply;
  };
  this->TimeToAnswer();
  CHECK_EQUAL(4, this->requests.size());
  CHECK_EQUAL(2, this->mesh->nodes[0].calls->GetCounters().retries);
}

// Guards against a queue that stands for as long as calls are in time: callers who come back after
// a refusal have less time left than their new request seems to have, and are answered late.
TEST(Overload, StandingQueueIsKeptShort) {
  this->options.gate.standing_queue_share = 0.2;
  this->mesh = std::make_unique<Mesh>(3, 1, this->options);
  this->mesh->filter = [](std::size_t, std::size_t, const Message&) { return false; };
  document::ServiceDocument document = FleetDocument();
  document.protection.queue_length = 100;
  this->mesh->routes.Set(document);
  this->mesh->nodes[1].backend.service_time = Milliseconds(20);
  int most_in_burst = 0;
  int most_later = 0;
  // Twice what four slots answer in 20 ms each, with a target latency of 400 ms.
  for (int i = 0; i < 600; ++i) {
    for (int call = 0; call < 2; ++call) {
      this->SendToGate(document::Priority::kNormal, Milliseconds(400));
    }
    this->mesh->RunFor(Milliseconds(5));
    const int queued = static_cast<int>(this->mesh->nodes[1].calls->GetGauges().queued);
    int& most = i < 100 ? most_in_burst : most_later;
    most = i >= 100 && i < 250 ? most : std::max(most, queued);
  }
  // A burst may use the target latency; afterwards a call waits for 80 ms, which 16 queued calls
  // take without the margin for variation.
  CHECK_TRUE(most_in_burst > 30);
  CHECK_TRUE(most_later >= 4 && most_later <= 18);
}

// Guards against moves that start so late that the caller cannot try elsewhere in time.
TEST(Overload, NoMoveStartsLate) {
  this->RefuseAll(1);
  this->reply_delay = Milliseconds(70);
  CHECK_TRUE(this->TimeToAnswer() < Milliseconds(75));
  CHECK_EQUAL(1, this->requests.size());
  // A move that comes early enough has no pause, unless it must ask the same gate again.
  this->requests.clear();
  this->reply_delay = Milliseconds(1);
  this->mesh->RunFor(Seconds(5));
  this->TimeToAnswer();
  CHECK_TRUE(this->requests.size() >= 3);
  CHECK_TRUE(this->requests[1].first - this->requests[0].first == Milliseconds(1));
  CHECK_TRUE(this->requests[2].first - this->requests[1].first > Milliseconds(5));
}

// Guards against nested calls that wait for long ones of lower classes in all slots, and against
// slots that stay unused once no nested calls come.
TEST(Overload, LastSlotIsKeptForNestedCalls) {
  this->mesh->nodes[1].backend.mode = BackendMode::kSilent;
  const auto in_flight = [this] { return this->mesh->nodes[1].calls->GetGauges().in_flight; };
  this->SendToGate(document::Priority::kInternal, Seconds(20));
  this->mesh->nodes[1].backend.running.erase(1);
  this->mesh->Deliver(1, BackendServerAnswered{1, {200, {}, "x"}});
  for (int i = 0; i < 5; ++i) {
    this->SendToGate(document::Priority::kBatch, Seconds(20));
  }
  CHECK_EQUAL(3, in_flight());
  this->SendToGate(document::Priority::kInternal, Seconds(20));
  CHECK_EQUAL(4, in_flight());
  this->mesh->nodes[1].backend.running.erase(5);
  this->mesh->Deliver(1, BackendServerAnswered{5, {200, {}, "x"}});
  CHECK_EQUAL(3, in_flight());
  this->mesh->RunFor(Milliseconds(2'001));
  this->SendToGate(document::Priority::kBatch, Seconds(20));
  CHECK_EQUAL(4, in_flight());
}

// Guards against a gate that queues calls without limit before the first of them has ended, and
// against one that cannot tell that more urgent calls will overtake a call.
TEST(Overload, GateAdmitsWhatItCanProbablyAnswer) {
  this->mesh->nodes[1].backend.mode = BackendMode::kSilent;
  const auto send = [this](document::Priority priority) {
    this->SendToGate(priority, Milliseconds(300));
  };
  const auto gauges = [this] { return this->mesh->nodes[1].calls->GetGauges(); };
  for (int i = 0; i < 50; ++i) {
    send(document::Priority::kInteractive);
  }
  // Four slots; a quarter of the target is assumed for each call, with a margin for the wait.
  CHECK_EQUAL(4, gauges().in_flight);
  CHECK_TRUE(gauges().queued >= 4 && gauges().queued <= 12);
  // All slots have been in use by more urgent calls for a while, and no call of these waits.
  this->mesh->RunFor(Milliseconds(290));
  CHECK_EQUAL(0, gauges().queued);
  send(document::Priority::kBatch);
  CHECK_EQUAL(0, gauges().queued);
  send(document::Priority::kInteractive);
  CHECK_EQUAL(1, gauges().queued);
}

// Guards against an idempotent call that waits for a slow run until a second one can only be late,
// and against second runs that take the last slots of a busy service.
TEST(Overload, SecondAttemptIsInTimeAndNeedsAFreeSlot) {
  std::uint32_t in_flight = 0;
  bool is_silent = false;
  this->answer = [&](const CallRequest& request) -> std::optional<CallReply> {
    if (is_silent) {
      return std::nullopt;
    }
    CallReply reply;
    reply.id = request.id;
    reply.answer.kind = ResultKind::kAnswered;
    reply.answer.response = {200, {{kBackendTimeField, "60000"}}, "x"};
    reply.load.in_flight = in_flight;
    return reply;
  };
  const auto attempts = [this, &is_silent] {
    is_silent = true;
    this->requests.clear();
    this->mesh->Call(0, "/read", "x", {}, Milliseconds(900));
    this->mesh->RunFor(Milliseconds(450));
    return this->requests.size();
  };
  const auto report = [this, &in_flight, &is_silent](std::uint32_t load) {
    is_silent = false;
    in_flight = load;
    for (int i = 0; i < 20; ++i) {
      this->mesh->Call(0, "/read", "x");
      this->mesh->RunFor(Milliseconds(2));
    }
  };
  report(0);
  CHECK_EQUAL(2, attempts());
  const utils::Duration delay = this->requests[1].first - this->requests[0].first;
  // 300 ms less the time for one run, but later than a usual run has ended.
  CHECK_TRUE(delay >= Milliseconds(90) && delay <= Milliseconds(300 - 60));
  // Without a free slot the second run would wait, although it could still be in time.
  document::ServiceDocument document = FleetDocument();
  FindRoute(document, "read")->target_latency = Milliseconds(800);
  this->mesh->routes.Set(document);
  this->mesh->RunFor(Seconds(30));
  report(0);
  CHECK_EQUAL(2, attempts());
  this->mesh->RunFor(Seconds(30));
  report(4);
  CHECK_EQUAL(1, attempts());
}

// Guards against queues in which each call is in time only if its run takes no longer than the
// mean: half of their calls were late.
TEST(Overload, QueuedCallsHaveTimeForALongRun) {
  this->mesh->nodes[1].backend.mode = BackendMode::kSilent;
  const auto gauges = [this] { return this->mesh->nodes[1].calls->GetGauges(); };
  // Learns a run time of 100 ms.
  for (std::uint64_t i = 1; i <= 4; ++i) {
    this->SendToGate(document::Priority::kNormal, Milliseconds(300));
  }
  this->mesh->RunFor(Milliseconds(100));
  for (std::uint64_t i = 1; i <= 4; ++i) {
    this->mesh->nodes[1].backend.running.erase(i);
    this->mesh->Deliver(1, BackendServerAnswered{i, {200, {}, "x"}});
  }
  for (int i = 0; i < 4; ++i) {
    this->SendToGate(document::Priority::kNormal, Milliseconds(300));
  }
  // A queued call waits for 37 ms by the gate's estimate.
  this->SendToGate(document::Priority::kNormal, Milliseconds(200));
  CHECK_EQUAL(0, gauges().queued);
  this->SendToGate(document::Priority::kNormal, Milliseconds(300));
  CHECK_EQUAL(1, gauges().queued);
}

}  // namespace amaranthlatch::calls::testing
