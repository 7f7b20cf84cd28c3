// Tests of Gate: messages and backend server events are delivered to a single gate.

#include <CppUTest/TestHarness.h>

#include <string>

#include "mesh.h"

namespace amaranthlatch::calls::testing {

using utils::ErrorCode;
using utils::Milliseconds;
using utils::Seconds;

// Node 0 is the gate. Its backend server responds only through Respond and Fail.
TEST_GROUP(Gate) {
  static constexpr std::size_t kGate = 0;
  Options options;
  Mesh mesh{2, 1};
  std::vector<CallReply> replies;
  std::vector<CallCancelReply> cancel_replies;
  std::uint64_t last_call = 0;

  void setup() override {
    this->mesh.nodes[kGate].backend.mode = BackendMode::kSilent;
    this->mesh.filter = [this](std::size_t, std::size_t, const Message& message) {
      if (const auto* reply = std::get_if<CallReply>(&message)) {
        this->replies.push_back(*reply);
      }
      if (const auto* reply = std::get_if<CallCancelReply>(&message)) {
        this->cancel_replies.push_back(*reply);
      }
      return false;
    };
  }

  // Makes a request from node 1 without sending it.
  CallRequest MakeRequest(document::Priority priority = document::Priority::kNormal) {
    CallRequest request;
    request.id = AttemptId{this->mesh.NodeName(1), 9, ++this->last_call, 1};
    request.gate_incarnation = this->mesh.nodes[kGate].incarnation;
    request.gate_boot_id = this->mesh.nodes[kGate].boot;
    request.service = "fleet";
    request.request.body = "call " + std::to_string(this->last_call);
    request.remaining = Seconds(10);
    request.priority = priority;
    request.fingerprint = this->last_call;
    request.max_response_bytes = 100;
    return request;
  }
  void Send(const Message& message) {
    this->mesh.Deliver(kGate, PeerMessage{this->mesh.NodeName(1), message});
  }
  CallRequest SendNew(document::Priority priority = document::Priority::kNormal) {
    CallRequest request = this->MakeRequest(priority);
    this->Send(request);
    return request;
  }
  void Respond(std::uint64_t run, const HttpResponse& response) {
    this->mesh.nodes[kGate].backend.running.erase(run);
    this->mesh.Deliver(kGate, BackendServerAnswered{run, response});
  }
  void Fail(std::uint64_t run, BackendFailure failure) {
    this->mesh.nodes[kGate].backend.running.erase(run);
    this->mesh.Deliver(kGate, BackendServerFailed{run, failure, false});
  }
  const Answer& LastAnswer() { return this->replies.back().answer; }
  Gauges CurrentGauges() { return this->mesh.nodes[kGate].calls->GetGauges(); }
  int RunCount(const CallRequest& request) { return this->mesh.RunsOf(request.request.body); }
  void SetProtection(std::uint32_t slots, std::uint32_t queue_length, utils::Duration queue_time) {
    document::ServiceDocument document = FleetDocument();
    document.protection.slots = slots;
    document.protection.queue_length = queue_length;
    document.protection.queue_time = queue_time;
    this->mesh.routes.Set(document);
  }
  void teardown() override { STRCMP_EQUAL("", this->mesh.FirstError().c_str()); }
};

// Guards against a repeated message that runs again while the first copy runs, after it finished or
// 30 s later.
TEST(Gate, RepeatedRequestRunsOnce) {
  const CallRequest request = this->SendNew();
  this->Send(request);
  this->Respond(1, {200, {}, "x"});
  this->Send(request);
  this->mesh.RunFor(Seconds(30));
  this->Send(request);
  CHECK_EQUAL(1, this->RunCount(request));
  CHECK_EQUAL(1, this->replies.size());
}

// Guards against a late copy of a refused request that runs after the refusal.
TEST(Gate, RefusedRequestNeverRuns) {
  this->mesh.Deliver(kGate, AdmissionChanged{false});
  const CallRequest request = this->SendNew();
  CHECK_TRUE(this->LastAnswer().code == ErrorCode::kNodeNotReady);
  this->mesh.Deliver(kGate, AdmissionChanged{true});
  this->Send(request);
  CHECK_EQUAL(0, this->RunCount(request));
  CHECK_TRUE(this->LastAnswer().kind == ResultKind::kNotRun);
}

// Guards against evicting attempts from a full memory, after which a late copy could run.
TEST(Gate, FullMemoryRefusesNewWork) {
  Options small;
  small.gate.max_tracked_attempts = 3;
  Mesh other_mesh(1, 1, small);
  for (int i = 0; i < 3; ++i) {
    other_mesh.Call(0, "/write", std::to_string(i));
    other_mesh.RunFor(Milliseconds(50));
  }
  const std::uint64_t refused = other_mesh.Call(0, "/write", "late");
  other_mesh.RunFor(Seconds(1));
  CHECK_TRUE(other_mesh.AnswerOf(refused).kind == ResultKind::kNotRun);
  other_mesh.RunFor(Seconds(120));
  const std::uint64_t later = other_mesh.Call(0, "/write", "later");
  other_mesh.RunFor(Seconds(1));
  CHECK_TRUE(other_mesh.AnswerOf(later).kind == ResultKind::kAnswered);
}

// Guards against large bodies of many nodes that together take the memory of one gate.
TEST(Gate, BodiesAboveTheLimitAreRefused) {
  Options small;
  small.gate.max_admitted_bytes = 100;
  Mesh other_mesh(1, 1, small);
  other_mesh.nodes[0].backend.mode = BackendMode::kSilent;
  const std::string large(60, 'x');
  other_mesh.Call(0, "/write", large + "1");
  const std::uint64_t refused = other_mesh.Call(0, "/write", large + "2");
  other_mesh.Call(0, "/write", "little");
  other_mesh.RunFor(Milliseconds(50));
  CHECK_EQUAL(1, other_mesh.RunsOf(large + "1"));
  CHECK_EQUAL(0, other_mesh.RunsOf(large + "2"));
  CHECK_EQUAL(1, other_mesh.RunsOf("little"));
  CHECK_TRUE(other_mesh.AnswerOf(refused).kind == ResultKind::kNotRun);
  CHECK_TRUE(other_mesh.AnswerOf(refused).code == ErrorCode::kQueueFull);
  other_mesh.nodes[0].backend.running.erase(1);
  other_mesh.Deliver(0, BackendServerAnswered{1, {200, {}, "x"}});
  other_mesh.Call(0, "/write", large + "3");
  other_mesh.RunFor(Milliseconds(50));
  CHECK_EQUAL(1, other_mesh.RunsOf(large + "3"));
}

// Guards against reporting the wrong outcome for a backend server failure or refusal.
TEST(Gate, BackendServerOutcomesAreReported) {
  const auto outcome = [this](auto end) {
    this->SendNew();
    end(this->mesh.nodes[kGate].calls->GetCounters().runs);
    return std::pair{this->LastAnswer().kind, this->LastAnswer().code};
  };
  const auto failed = [this, &outcome](BackendFailure failure) {
    return outcome([this, failure](std::uint64_t run) { this->Fail(run, failure); });
  };
  const auto answered = [this, &outcome](const HttpResponse& response) {
    return outcome([this, response](std::uint64_t run) { this->Respond(run, response); });
  };
  using Pair = std::pair<ResultKind, ErrorCode>;
  CHECK_TRUE(failed(BackendFailure::kNotConnected) ==
             Pair(ResultKind::kNotRun, ErrorCode::kNoBackendServer));
  CHECK_TRUE(failed(BackendFailure::kConnectionLost) ==
             Pair(ResultKind::kUnknown, ErrorCode::kBackendFailed));
  CHECK_TRUE(failed(BackendFailure::kSilent) ==
             Pair(ResultKind::kUnknown, ErrorCode::kBackendFailed));
  CHECK_TRUE(failed(BackendFailure::kTooLarge) ==
             Pair(ResultKind::kUnknown, ErrorCode::kAnswerTooLarge));
  CHECK_TRUE(answered({503, {{"amaranthlatch-not-run", "true"}}, ""}) ==
             Pair(ResultKind::kNotRun, ErrorCode::kBackendShed));
  CHECK_TRUE(answered({503, {}, "busy"}) == Pair(ResultKind::kAnswered, ErrorCode::kOk));
  CHECK_TRUE(answered({500, {{"amaranthlatch-not-run", "true"}}, ""}) ==
             Pair(ResultKind::kAnswered, ErrorCode::kOk));
  CHECK_TRUE(answered({200, {}, std::string(101, 'x')}) ==
             Pair(ResultKind::kUnknown, ErrorCode::kAnswerTooLarge));
  answered({503, {{"amaranthlatch-no-retry", "1"}}, ""});
  CHECK_TRUE(this->LastAnswer().no_retry);
}

// Guards against more runs than slots, also when the backend server announces fewer than the
// document allows.
TEST(Gate, RunsStayWithinTheAnnouncedSlots) {
  this->mesh.Deliver(kGate, BackendServerChanged{"fleet", 2, true});
  for (int i = 0; i < 5; ++i) {
    this->SendNew();
  }
  CHECK_EQUAL(2, this->CurrentGauges().in_flight);
  CHECK_EQUAL(3, this->CurrentGauges().queued);
  this->mesh.Deliver(kGate, BackendServerChanged{"fleet", 9, true});
  CHECK_EQUAL(4, this->CurrentGauges().in_flight);
}

// Guards against unbounded queue growth; each priority class has its own limit.
TEST(Gate, QueueOfAClassIsBounded) {
  this->SetProtection(1, 2, Seconds(5));
  for (int i = 0; i < 4; ++i) {
    this->SendNew();
  }
  CHECK_EQUAL(1, this->replies.size());
  CHECK_TRUE(this->LastAnswer().code == ErrorCode::kQueueFull);
  this->SendNew(document::Priority::kBatch);
  CHECK_EQUAL(1, this->replies.size());
}

// Guards against queueing a call whose deadline passes before it can be dispatched.
TEST(Gate, ExpectedWaitAboveTheDeadlineIsRefused) {
  this->SetProtection(1, 50, Seconds(5));
  this->SendNew();
  this->mesh.RunFor(Seconds(1));
  this->Respond(1, {200, {}, "x"});
  this->SendNew();
  CallRequest short_deadline = this->MakeRequest();
  short_deadline.remaining = Milliseconds(500);
  this->Send(short_deadline);
  CHECK_TRUE(this->LastAnswer().code == ErrorCode::kQueueFull);
  CHECK_EQUAL(0, this->CurrentGauges().queued);
}

// Guards against running a call after its queue time or after its caller aborted it.
TEST(Gate, ExpiredAndAbandonedWorkNeverRuns) {
  this->SetProtection(1, 50, Milliseconds(500));
  this->SendNew();
  const CallRequest expiring = this->SendNew();
  const CallRequest abandoned = this->SendNew();
  this->Send(CallCancel{abandoned.id, abandoned.gate_boot_id, false});
  CHECK_TRUE(this->cancel_replies.back().ran && this->cancel_replies.back().running);
  CHECK_EQUAL(2, this->CurrentGauges().queued);
  this->Send(CallCancel{abandoned.id, abandoned.gate_boot_id, true});
  CHECK_FALSE(this->cancel_replies.back().ran);
  this->mesh.RunFor(Milliseconds(600));
  CHECK_TRUE(this->LastAnswer().kind == ResultKind::kNotRun);
  CHECK_TRUE(this->replies.back().id == expiring.id);
  this->Respond(1, {200, {}, "x"});
  CHECK_EQUAL(0, this->RunCount(expiring) + this->RunCount(abandoned));
}

// Guards against running a call whose entry node has ended by the time of the answer, and against a
// time limit that drops a running call or moves a queued one behind later ones.
TEST(Gate, QueuedWorkOfAnEndingEntryNodeIsDroppedInTime) {
  this->SetProtection(1, 50, Seconds(50));
  this->SendNew();
  this->mesh.RunFor(Milliseconds(400));
  this->Respond(1, {200, {}, "x"});
  const CallRequest running = this->SendNew();
  const CallRequest first = this->SendNew();
  const CallRequest second = this->SendNew();
  const auto limit = [this](const CallRequest& request, utils::Duration time) {
    this->Send(CallCancel{request.id, request.gate_boot_id, false, time});
    CHECK_TRUE(this->cancel_replies.back().ran && this->cancel_replies.back().running);
  };
  limit(running, Milliseconds(10));
  limit(first, Seconds(2));
  // A run of 400 ms begun at 1.4 s would end in time, but not one that takes half as long again.
  this->mesh.RunFor(Milliseconds(1'390));
  CHECK_EQUAL(2, this->CurrentGauges().queued);
  limit(second, Milliseconds(10));
  this->mesh.RunFor(Milliseconds(20));
  CHECK_EQUAL(0, this->CurrentGauges().queued);
  CHECK_TRUE(this->LastAnswer().kind == ResultKind::kNotRun);
  CHECK_EQUAL(1, this->CurrentGauges().in_flight);
  const CallRequest kept = this->SendNew();
  this->SendNew();
  limit(kept, Seconds(5));
  this->Respond(2, {200, {}, "x"});
  CHECK_EQUAL(1, this->RunCount(kept));
  CHECK_EQUAL(0, this->RunCount(first) + this->RunCount(second));
  CHECK_EQUAL(2, this->mesh.nodes[kGate].calls->GetCounters().withdrawn);
}

// Guards against runs that continue after their caller disconnected or their deadline passed.
TEST(Gate, RunningWorkIsCancelled) {
  const CallRequest cancelled = this->SendNew();
  this->Send(CallCancel{cancelled.id, cancelled.gate_boot_id, false});
  CHECK_TRUE(this->cancel_replies.back().ran && this->cancel_replies.back().running);
  CHECK_EQUAL(1, this->CurrentGauges().in_flight);
  this->Send(CallCancel{cancelled.id, cancelled.gate_boot_id, true});
  this->mesh.RunFor(Milliseconds(1));
  CHECK_EQUAL(0, this->CurrentGauges().in_flight);
  CHECK_TRUE(this->LastAnswer().kind == ResultKind::kUnknown);
  this->SendNew();
  this->mesh.RunFor(Seconds(11));
  CHECK_EQUAL(0, this->CurrentGauges().in_flight);
  CHECK_TRUE(this->LastAnswer().code == ErrorCode::kDeadlineExceeded);
  CHECK_TRUE(this->LastAnswer().kind == ResultKind::kUnknown);
}

// Guards against starvation of the lowest class while higher classes have queued calls.
TEST(Gate, EverySixteenthDequeueTakesALowerClass) {
  this->SetProtection(1, 100, Seconds(50));
  this->SendNew();
  const CallRequest batch = this->SendNew(document::Priority::kBatch);
  for (int i = 0; i < 40; ++i) {
    this->SendNew(document::Priority::kInternal);
  }
  std::uint64_t dequeues = 0;
  while (this->RunCount(batch) == 0) {
    this->Respond(++dequeues, {200, {}, "x"});
  }
  CHECK_EQUAL(16, dequeues);
}

// Guards against a drain that admits new calls, finishes early or never finishes.
TEST(Gate, DrainFinishesRunningAndQueuedWork) {
  this->SetProtection(1, 50, Seconds(5));
  this->SendNew();
  const CallRequest queued = this->SendNew();
  this->mesh.Deliver(kGate, DrainStarted{});
  this->SendNew();
  CHECK_TRUE(this->LastAnswer().code == ErrorCode::kDraining);
  CHECK_TRUE(this->LastAnswer().kind == ResultKind::kNotRun);
  this->Respond(1, {200, {}, "x"});
  CHECK_EQUAL(1, this->RunCount(queued));
  CHECK_EQUAL(0, this->mesh.other_effects.size());
  this->Respond(2, {200, {}, "x"});
  CHECK_EQUAL(1, this->mesh.other_effects.size());
  CHECK_TRUE(std::holds_alternative<DrainFinished>(this->mesh.other_effects.front()));
}

// Guards against a concurrency limit that stays high while the backend server sheds load, or that
// stays low afterwards.
TEST(Gate, LimitAdaptsToTheBackendServer) {
  this->SetProtection(4, 50, Seconds(50));
  std::uint64_t run = 1;
  // All slots are in use. Of the calls in flight, the server answers `answered` and sheds the rest.
  const auto respond = [this, &run](int rounds, std::uint32_t answered) {
    for (int i = 0; i < rounds; ++i) {
      while (this->CurrentGauges().in_flight < this->CurrentGauges().concurrency_limit ||
             this->CurrentGauges().queued < 4) {
        this->SendNew();
      }
      this->mesh.RunFor(Milliseconds(5));
      const std::uint32_t slots = this->CurrentGauges().in_flight;
      for (std::uint32_t slot = 0; slot < slots; ++slot) {
        if (slot < answered) {
          this->Respond(run++, {200, {}, "x"});
        } else {
          this->Respond(run++, {503, {{"amaranthlatch-not-run", "true"}}, ""});
        }
      }
    }
  };
  respond(200, 1);
  CHECK_EQUAL(1, this->CurrentGauges().concurrency_limit);
  // The latency does not depend on the number of calls in flight.
  respond(2'000, 4);
  CHECK_EQUAL(4, this->CurrentGauges().concurrency_limit);
}

// Guards against answering for an earlier process at the same address, and against running a
// request that was addressed by an outdated member record.
TEST(Gate, OtherProcessAndOtherIncarnation) {
  CallRequest foreign = this->MakeRequest();
  foreign.gate_boot_id += 1;
  this->Send(foreign);
  CHECK_TRUE(this->LastAnswer().kind == ResultKind::kUnknown);
  this->Send(CallCancel{foreign.id, foreign.gate_boot_id, false});
  CHECK_TRUE(this->cancel_replies.back().ran);
  CallRequest outdated = this->MakeRequest();
  outdated.gate_incarnation -= 1;
  this->Send(outdated);
  CHECK_TRUE(this->LastAnswer().kind == ResultKind::kNotRun);
  CHECK_EQUAL(0, this->CurrentGauges().in_flight);
}

// Guards against a queue in which every call waits so long that all answers are late.
TEST(Gate, RefusesCallsExpectedToBeLate) {
  this->SetProtection(1, 100, Seconds(2));
  this->SendNew();
  this->mesh.RunFor(Milliseconds(100));
  this->Respond(1, {200, {}, "x"});
  this->SendNew();
  CallRequest short_patience = this->MakeRequest();
  short_patience.latency_budget = Milliseconds(30);
  this->Send(short_patience);
  CHECK_TRUE(this->LastAnswer().kind == ResultKind::kNotRun);
  CHECK_TRUE(this->LastAnswer().code == ErrorCode::kQueueFull);
  CallRequest long_patience = this->MakeRequest();
  long_patience.latency_budget = Seconds(1);
  this->Send(long_patience);
  CHECK_EQUAL(1, this->CurrentGauges().queued);
  CHECK_EQUAL(0, this->RunCount(short_patience));
}

// Guards against an "unknown" outcome from a restarted gate when the transport never repeats
// messages, so that the request cannot have run.
TEST(Gate, WithoutTransportRepeatsAnotherProcessAnswersNotRun) {
  Options options;
  options.gate.transport_may_duplicate = false;
  Mesh other_mesh(2, 1, options);
  std::optional<CallReply> reply;
  other_mesh.filter = [&reply](std::size_t, std::size_t, const Message& message) {
    if (const auto* found = std::get_if<CallReply>(&message)) {
      reply = *found;
    }
    return true;
  };
  CallRequest foreign = this->MakeRequest();
  foreign.id.entry = other_mesh.NodeName(0);
  foreign.gate_boot_id = other_mesh.nodes[1].boot + 1;
  other_mesh.Deliver(1, PeerMessage{other_mesh.NodeName(0), foreign});
  other_mesh.RunFor(Milliseconds(10));
  CHECK_TRUE(reply && reply->answer.kind == ResultKind::kNotRun);
}

}  // namespace amaranthlatch::calls::testing
