// Tests of the gate side, by messages to one gate.

#include <CppUTest/TestHarness.h>

#include <string>

#include "mesh.h"

namespace amaranthlatch::calls::testing {

using utils::ErrorCode;
using utils::Milliseconds;
using utils::Seconds;

// Node 0 is the gate. Its backend server answers only when a test says so.
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

  // A request of node 1, which is not sent.
  CallRequest Make(document::Priority priority = document::Priority::kNormal) {
    CallRequest request;
    request.id = AttemptId{this->mesh.NodeName(1), 9, ++this->last_call, 1};
    request.gate_incarnation = this->mesh.nodes[kGate].incarnation;
    request.gate_boot = this->mesh.nodes[kGate].boot;
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
    CallRequest request = this->Make(priority);
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
  Gauges Load() { return this->mesh.nodes[kGate].calls->GetGauges(); }
  int Runs(const CallRequest& request) { return this->mesh.RunsOf(request.request.body); }
  void SetProtection(std::uint32_t slots, std::uint32_t queue_length, utils::Duration queue_time) {
    document::ServiceDocument document = FleetDocument();
    document.protection.slots = slots;
    document.protection.queue_length = queue_length;
    document.protection.queue_time = queue_time;
    this->mesh.routes.Set(document);
  }
  void teardown() override { STRCMP_EQUAL("", this->mesh.Fault().c_str()); }
};

// Guards against a repeated message that runs again, at any stage of the first copy.
TEST(Gate, RepeatedRequestRunsOnce) {
  const CallRequest request = this->SendNew();
  this->Send(request);
  this->Respond(1, {200, {}, "x"});
  this->Send(request);
  this->mesh.RunFor(Seconds(30));
  this->Send(request);
  CHECK_EQUAL(1, this->Runs(request));
  CHECK_EQUAL(1, this->replies.size());
}

// Guards against a copy of a refused request that runs after the refusal.
TEST(Gate, RefusedRequestNeverRuns) {
  this->mesh.Deliver(kGate, AdmissionChanged{false});
  const CallRequest request = this->SendNew();
  CHECK_TRUE(this->LastAnswer().code == ErrorCode::kNodeNotReady);
  this->mesh.Deliver(kGate, AdmissionChanged{true});
  this->Send(request);
  CHECK_EQUAL(0, this->Runs(request));
  CHECK_TRUE(this->LastAnswer().kind == ResultKind::kNotRun);
}

// Guards against forgetting attempts when their memory is full.
TEST(Gate, FullMemoryRefusesNewWork) {
  Options small;
  small.gate.memory_capacity = 3;
  Mesh own(1, 1, small);
  for (int i = 0; i < 3; ++i) {
    own.Call(0, "/write", std::to_string(i));
    own.RunFor(Milliseconds(50));
  }
  const std::uint64_t refused = own.Call(0, "/write", "late");
  own.RunFor(Seconds(1));
  CHECK_TRUE(own.MustAnswer(refused).kind == ResultKind::kNotRun);
  own.RunFor(Seconds(120));
  const std::uint64_t later = own.Call(0, "/write", "later");
  own.RunFor(Seconds(1));
  CHECK_TRUE(own.MustAnswer(later).kind == ResultKind::kAnswered);
}

// Guards against refusals and failures that are reported with the wrong outcome.
TEST(Gate, OutcomesOfTheBackendServer) {
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
  CHECK_EQUAL(2, this->Load().in_flight);
  CHECK_EQUAL(3, this->Load().queued);
  this->mesh.Deliver(kGate, BackendServerChanged{"fleet", 9, true});
  CHECK_EQUAL(4, this->Load().in_flight);
}

// Guards against queues that grow without bound.
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

// Guards against work that is queued although its deadline will pass before its turn.
TEST(Gate, ExpectedWaitAboveTheDeadlineIsRefused) {
  this->SetProtection(1, 50, Seconds(5));
  this->SendNew();
  this->mesh.RunFor(Seconds(1));
  this->Respond(1, {200, {}, "x"});
  this->SendNew();
  CallRequest hurried = this->Make();
  hurried.remaining = Milliseconds(500);
  this->Send(hurried);
  CHECK_TRUE(this->LastAnswer().code == ErrorCode::kQueueFull);
  CHECK_EQUAL(0, this->Load().queued);
}

// Guards against work that runs after its time in the queue or after its caller gave it up.
TEST(Gate, ExpiredAndAbandonedWorkNeverRuns) {
  this->SetProtection(1, 50, Milliseconds(500));
  this->SendNew();
  const CallRequest waits = this->SendNew();
  const CallRequest given_up = this->SendNew();
  this->Send(CallCancel{given_up.id, given_up.gate_boot, false});
  CHECK_TRUE(this->cancel_replies.back().ran && this->cancel_replies.back().running);
  CHECK_EQUAL(2, this->Load().queued);
  this->Send(CallCancel{given_up.id, given_up.gate_boot, true});
  CHECK_FALSE(this->cancel_replies.back().ran);
  this->mesh.RunFor(Milliseconds(600));
  CHECK_TRUE(this->LastAnswer().kind == ResultKind::kNotRun);
  CHECK_TRUE(this->replies.back().id == waits.id);
  this->Respond(1, {200, {}, "x"});
  CHECK_EQUAL(0, this->Runs(waits) + this->Runs(given_up));
}

// Guards against work that goes on for a caller that is gone or after the deadline.
TEST(Gate, RunningWorkIsCancelled) {
  const CallRequest gone = this->SendNew();
  this->Send(CallCancel{gone.id, gone.gate_boot, false});
  CHECK_TRUE(this->cancel_replies.back().ran && this->cancel_replies.back().running);
  CHECK_EQUAL(1, this->Load().in_flight);
  this->Send(CallCancel{gone.id, gone.gate_boot, true});
  this->mesh.RunFor(Milliseconds(1));
  CHECK_EQUAL(0, this->Load().in_flight);
  CHECK_TRUE(this->LastAnswer().kind == ResultKind::kUnknown);
  this->SendNew();
  this->mesh.RunFor(Seconds(11));
  CHECK_EQUAL(0, this->Load().in_flight);
  CHECK_TRUE(this->LastAnswer().code == ErrorCode::kDeadlineExceeded);
  CHECK_TRUE(this->LastAnswer().kind == ResultKind::kUnknown);
}

// Guards against starved auditors: the lowest class gets its share while higher ones wait.
TEST(Gate, EverySixteenthTurnGoesToALowerClass) {
  this->SetProtection(1, 100, Seconds(50));
  this->SendNew();
  const CallRequest batch = this->SendNew(document::Priority::kBatch);
  for (int i = 0; i < 40; ++i) {
    this->SendNew(document::Priority::kInternal);
  }
  std::uint64_t turns = 0;
  while (this->Runs(batch) == 0) {
    this->Respond(++turns, {200, {}, "x"});
  }
  CHECK_EQUAL(16, turns);
}

// Guards against a drain that takes new work, ends early or never ends.
TEST(Gate, DrainFinishesRunningAndQueuedWork) {
  this->SetProtection(1, 50, Seconds(5));
  this->SendNew();
  const CallRequest queued = this->SendNew();
  this->mesh.Deliver(kGate, DrainStarted{});
  this->SendNew();
  CHECK_TRUE(this->LastAnswer().code == ErrorCode::kDraining);
  CHECK_TRUE(this->LastAnswer().kind == ResultKind::kNotRun);
  this->Respond(1, {200, {}, "x"});
  CHECK_EQUAL(1, this->Runs(queued));
  CHECK_EQUAL(0, this->mesh.other_effects.size());
  this->Respond(2, {200, {}, "x"});
  CHECK_EQUAL(1, this->mesh.other_effects.size());
  CHECK_TRUE(std::holds_alternative<DrainFinished>(this->mesh.other_effects.front()));
}

// Guards against a gate that keeps pushing a backend server that sheds load, or never recovers.
TEST(Gate, LimitFollowsTheBackendServer) {
  this->SetProtection(4, 50, Seconds(50));
  for (std::uint64_t run = 1; run <= 20; ++run) {
    this->SendNew();
    this->mesh.RunFor(Milliseconds(150));
    this->Respond(run, {503, {{"amaranthlatch-not-run", "true"}}, ""});
  }
  CHECK_EQUAL(1, this->Load().concurrency_limit);
  // All slots are in use again, and each call takes the same time however many there are.
  std::uint64_t run = 21;
  for (int i = 0; i < 2'000; ++i) {
    while (this->Load().in_flight < this->Load().concurrency_limit || this->Load().queued < 4) {
      this->SendNew();
    }
    this->mesh.RunFor(Milliseconds(5));
    for (std::uint32_t slots = this->Load().in_flight; slots > 0; --slots) {
      this->Respond(run++, {200, {}, "x"});
    }
  }
  CHECK_EQUAL(4, this->Load().concurrency_limit);
}

// Guards against a gate that speaks for its predecessor or acts on an outdated member record.
TEST(Gate, OtherProcessAndOtherIncarnation) {
  CallRequest foreign = this->Make();
  foreign.gate_boot += 1;
  this->Send(foreign);
  CHECK_TRUE(this->LastAnswer().kind == ResultKind::kUnknown);
  this->Send(CallCancel{foreign.id, foreign.gate_boot, false});
  CHECK_TRUE(this->cancel_replies.back().ran);
  CallRequest outdated = this->Make();
  outdated.gate_incarnation -= 1;
  this->Send(outdated);
  CHECK_TRUE(this->LastAnswer().kind == ResultKind::kNotRun);
  CHECK_EQUAL(0, this->Load().in_flight);
}

// Guards against queues in which all calls wait until none can be answered in time.
TEST(Gate, QueueRefusesWhatWouldComeLate) {
  this->SetProtection(1, 100, Seconds(2));
  this->SendNew();
  this->mesh.RunFor(Milliseconds(100));
  this->Respond(1, {200, {}, "x"});
  this->SendNew();
  CallRequest hasty = this->Make();
  hasty.patience = Milliseconds(30);
  this->Send(hasty);
  CHECK_TRUE(this->LastAnswer().kind == ResultKind::kNotRun);
  CHECK_TRUE(this->LastAnswer().code == ErrorCode::kQueueFull);
  CallRequest patient = this->Make();
  patient.patience = Seconds(1);
  this->Send(patient);
  CHECK_EQUAL(1, this->Load().queued);
  CHECK_EQUAL(0, this->Runs(hasty));
}

// Guards against a restarted gate behind links without repeats that leaves callers in the dark.
TEST(Gate, WithoutRepeatsAnotherProcessRefusesTruthfully) {
  Options options;
  options.gate.transport_repeats = false;
  Mesh own(2, 1, options);
  std::optional<CallReply> reply;
  own.filter = [&reply](std::size_t, std::size_t, const Message& message) {
    if (const auto* found = std::get_if<CallReply>(&message)) {
      reply = *found;
    }
    return true;
  };
  CallRequest foreign = this->Make();
  foreign.id.entry = own.NodeName(0);
  foreign.gate_boot = own.nodes[1].boot + 1;
  own.Deliver(1, PeerMessage{own.NodeName(0), foreign});
  own.RunFor(Milliseconds(10));
  CHECK_TRUE(reply && reply->answer.kind == ResultKind::kNotRun);
}

}  // namespace amaranthlatch::calls::testing
