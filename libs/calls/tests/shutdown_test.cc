// Tests of calls that are open at an entry node whose process is about to end.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "mesh.h"

namespace amaranthlatch::calls::testing {

using utils::ErrorCode;
using utils::Milliseconds;
using utils::Seconds;

// Node 0 is the entry node. Node 1 is the only gate, with one slot for calls of about 400 ms.
TEST_GROUP(Shutdown) {
  static constexpr std::size_t kEntry = 0;
  static constexpr std::size_t kGate = 1;
  Mesh mesh{2, 1};

  void setup() override {
    document::ServiceDocument document = FleetDocument();
    document.protection.slots = 1;
    document.protection.queue_time = Seconds(30);
    for (document::Route& route : document.routes) {
      route.deadline = Seconds(30);
    }
    this->mesh.routes.Set(document);
    this->mesh.Publish(kEntry, membership::MemberState::kJoining);
    this->mesh.nodes[kGate].backend.service_time = Milliseconds(400);
    this->mesh.nodes[kGate].backend.reports_time = true;
    // Both nodes learn how long calls of the route take.
    for (int i = 0; i < 5; ++i) {
      this->CallMany("/write", 1);
      this->mesh.RunFor(Seconds(1));
    }
  }
  std::vector<std::uint64_t> CallMany(const std::string& path, int count) {
    std::vector<std::uint64_t> calls;
    calls.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      calls.push_back(this->mesh.Call(kEntry, path, "body " + std::to_string(++this->bodies)));
    }
    return calls;
  }
  void ScheduleShutdown(utils::Duration time_left) {
    this->mesh.Deliver(kEntry, ShutdownScheduled{time_left});
    this->mesh.Deliver(kEntry, DrainStarted{});
  }
  int CountAnswers(const std::vector<std::uint64_t>& calls, ResultKind kind) const {
    return static_cast<int>(std::count_if(calls.begin(), calls.end(), [&](std::uint64_t call) {
      const auto& answer = this->mesh.OutcomeOf(call).answer;
      return answer && answer->kind == kind;
    }));
  }
  int CountRuns(const std::vector<std::uint64_t>& calls) const {
    int runs = 0;
    for (const std::uint64_t call : calls) {
      runs += this->mesh.RunsOf(this->mesh.OutcomeOf(call).body);
    }
    return runs;
  }
  const Counters& EntryCounters() { return this->mesh.nodes[kEntry].calls->GetCounters(); }
  void teardown() override { STRCMP_EQUAL("", this->mesh.FirstError().c_str()); }

  int bodies = 0;
};

// Guards against callers that get no answer, or a false one, because their calls wait in the queue
// of another node when the process ends (review case 12).
TEST(Shutdown, QueuedCallsAreAnsweredOrRefusedAsNotRun) {
  const auto calls = this->CallMany("/write", 20);
  this->ScheduleShutdown(Seconds(3));
  this->mesh.RunFor(Seconds(3));
  CHECK_TRUE(this->mesh.drained.contains(kEntry));
  const int answered = this->CountAnswers(calls, ResultKind::kAnswered);
  CHECK_EQUAL(20 - answered, this->CountAnswers(calls, ResultKind::kNotRun));
  // The gate goes on with what it can finish.
  CHECK_TRUE(answered >= 4);
  this->mesh.RunFor(Seconds(10));
  CHECK_EQUAL(answered, this->CountRuns(calls));
}

// Guards against calls that wait until the end of the process although the queue is too long. The
// time includes two retries with their backoff.
TEST(Shutdown, CallsThatCannotBeReachedAreRefusedAtOnce) {
  const auto calls = this->CallMany("/write", 20);
  this->mesh.RunFor(Milliseconds(10));
  this->ScheduleShutdown(Seconds(3));
  this->mesh.RunFor(Milliseconds(200));
  CHECK_TRUE(this->CountAnswers(calls, ResultKind::kNotRun) >= 8);
  CHECK_TRUE(this->mesh.nodes[kGate].calls->GetCounters().withdrawn >= 8);
}

// Guards against a shutdown that breaks off work of a backend server, which other nodes or a retry
// can't repeat.
TEST(Shutdown, RunningCallsGoOnAndEndAsUnknown) {
  this->mesh.nodes[kGate].backend.mode = BackendMode::kSilent;
  const auto calls = this->CallMany("/write", 1);
  this->mesh.RunFor(Milliseconds(10));
  this->ScheduleShutdown(Seconds(3));
  this->mesh.RunFor(Milliseconds(2'990));
  CHECK_FALSE(this->mesh.OutcomeOf(calls[0]).answer.has_value());
  this->mesh.RunFor(Milliseconds(20));
  CHECK_EQUAL(1, this->CountAnswers(calls, ResultKind::kUnknown));
  CHECK_EQUAL(1, this->EntryCounters().cut_by_shutdown);
  CHECK_EQUAL(1, this->mesh.nodes[kGate].backend.running.size());
}

// Guards against a withdrawal that gets lost, or that overtakes a request.
TEST(Shutdown, LostWithdrawalsAreRepeated) {
  const auto calls = this->CallMany("/write", 20);
  this->mesh.RunFor(Milliseconds(10));
  int lost = 0;
  this->mesh.filter = [&lost](std::size_t, std::size_t, const Message& message) {
    const bool is_cancel = std::holds_alternative<CallCancel>(message);
    return !is_cancel || ++lost > 25;
  };
  this->ScheduleShutdown(Seconds(3));
  this->mesh.RunFor(Seconds(3));
  CHECK_EQUAL(0, this->CountAnswers(calls, ResultKind::kUnknown));
  CHECK_EQUAL(20, this->CountAnswers(calls, ResultKind::kAnswered) +
                      this->CountAnswers(calls, ResultKind::kNotRun));
}

// Guards against callers that wait for a gate that does not answer until the process has ended.
TEST(Shutdown, CallsAtSilentPeersEndAsUnknownInTime) {
  const auto calls = this->CallMany("/write", 3);
  this->mesh.RunFor(Milliseconds(10));
  this->mesh.filter = [](std::size_t from, std::size_t, const Message&) { return from != kGate; };
  this->ScheduleShutdown(Seconds(3));
  this->mesh.RunFor(Milliseconds(3'010));
  CHECK_EQUAL(3, this->CountAnswers(calls, ResultKind::kUnknown));
  CHECK_TRUE(this->mesh.drained.contains(kEntry));
}

// Guards against calls that come while the process still serves callers and outlast it.
TEST(Shutdown, LaterCallsGetTheSameLimit) {
  this->mesh.Deliver(kEntry, ShutdownScheduled{Seconds(3)});
  const auto calls = this->CallMany("/write", 20);
  this->mesh.RunFor(Seconds(1));
  this->mesh.Deliver(kEntry, DrainStarted{});
  this->mesh.RunFor(Seconds(2));
  CHECK_EQUAL(0, this->CountAnswers(calls, ResultKind::kUnknown));
  CHECK_EQUAL(20, this->CountAnswers(calls, ResultKind::kAnswered) +
                      this->CountAnswers(calls, ResultKind::kNotRun));
}

// Guards against an attempt that can only end after the process.
TEST(Shutdown, CallsThatCannotEndInTimeAreNotAttempted) {
  this->mesh.Deliver(kEntry, ShutdownScheduled{Milliseconds(300)});
  const auto calls = this->CallMany("/write", 1);
  CHECK_TRUE(this->mesh.AnswerOf(calls[0]).code == ErrorCode::kDraining);
  CHECK_TRUE(this->mesh.AnswerOf(calls[0]).kind == ResultKind::kNotRun);
  this->mesh.RunFor(Seconds(1));
  CHECK_EQUAL(0, this->CountRuns(calls));
}

// Guards against messages for calls that end by their deadlines before the process does.
TEST(Shutdown, CallsThatEndBeforeAreLeftAlone) {
  document::ServiceDocument document = FleetDocument();
  document.protection.slots = 1;
  this->mesh.routes.Set(document);
  this->CallMany("/write", 3);
  const std::uint64_t fences = this->EntryCounters().fences;
  this->mesh.Deliver(kEntry, ShutdownScheduled{Seconds(3)});
  CHECK_EQUAL(fences, this->EntryCounters().fences);
}

}  // namespace amaranthlatch::calls::testing
