// Tests of the quarantine of requests that crash backend servers.

#include "quarantine.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

#include "mesh.h"

namespace amaranthlatch::calls::testing {

using utils::ErrorCode;
using utils::Milliseconds;
using utils::Seconds;

TEST_GROUP(Quarantine) {
  Mesh mesh{6, 3};

  void setup() override {
    document::ServiceDocument document = FleetDocument();
    document.locality.prefer = document::LocalityPreference::kNone;
    this->mesh.routes.Set(document);
  }
  void teardown() override { STRCMP_EQUAL("", this->mesh.FirstError().c_str()); }
  void RestartCrashedBackends() {
    for (std::size_t i = 0; i < this->mesh.nodes.size(); ++i) {
      if (this->mesh.nodes[i].backend.mode == BackendMode::kDead) {
        this->mesh.StartBackend(i);
      }
    }
  }
  // Sends copies of the poisoned request, each through another node.
  void SendPoison(int copies, const std::string& path) {
    for (int i = 0; i < copies; ++i) {
      this->mesh.Call(static_cast<std::size_t>(i) % this->mesh.nodes.size(), path, "poison");
      this->mesh.RunFor(Milliseconds(100));
      this->RestartCrashedBackends();
    }
    this->mesh.RunFor(Seconds(5));
  }
};

// Guards against a request that crashes one backend server after another.
TEST(Quarantine, PoisonedRequestCrashesAtMostTwoServers) {
  this->SendPoison(20, "/write");
  CHECK_EQUAL(2, this->mesh.backend_crashes);
  const std::uint64_t refused = this->mesh.Call(3, "/write", "poison");
  const std::uint64_t unrelated = this->mesh.Call(3, "/write", "innocent");
  this->mesh.RunFor(Seconds(1));
  CHECK_TRUE(this->mesh.AnswerOf(refused).code == ErrorCode::kPoisoned);
  CHECK_TRUE(this->mesh.AnswerOf(refused).kind == ResultKind::kNotRun);
  CHECK_TRUE(this->mesh.AnswerOf(unrelated).kind == ResultKind::kAnswered);
}

// Guards against copies that run on several gates, or concurrently on one, after the first crash
// has been reported.
TEST(Quarantine, ConcurrentCopiesRunOneAtATimeAtTheOwner) {
  this->SendPoison(1, "/write");
  for (std::size_t i = 0; i < 24; ++i) {
    this->mesh.Call(i % this->mesh.nodes.size(), "/write", "poison");
  }
  this->mesh.RunFor(Seconds(5));
  CHECK_EQUAL(2, this->mesh.backend_crashes);
  CHECK_EQUAL(2, this->mesh.RunsOf("poison"));
}

// Guards against automatic retries that crash further backend servers.
TEST(Quarantine, RetriesOfAPoisonedReadStopAfterTwoCrashes) {
  this->SendPoison(10, "/read");
  CHECK_EQUAL(2, this->mesh.backend_crashes);
}

// Guards against a quarantine that never expires.
TEST(Quarantine, QuarantineExpires) {
  this->SendPoison(5, "/write");
  CHECK_EQUAL(2, this->mesh.backend_crashes);
  this->mesh.RunFor(Seconds(601));
  this->SendPoison(1, "/write");
  CHECK_EQUAL(3, this->mesh.backend_crashes);
}

// Guards against requests that remain suspects only because they were in flight during a crash.
TEST(Quarantine, UnrelatedRequestsInFlightAreCleared) {
  document::ServiceDocument document = FleetDocument();
  document.locality.prefer = document::LocalityPreference::kNone;
  document.protection.slots = 4;
  this->mesh.routes.Set(document);
  for (Node& node : this->mesh.nodes) {
    node.backend.service_time = Milliseconds(40);
  }
  for (int i = 0; i < 12; ++i) {
    this->mesh.Call(0, "/read", "innocent " + std::to_string(i));
  }
  this->mesh.RunFor(Milliseconds(5));
  this->mesh.Call(0, "/write", "poison");
  this->mesh.RunFor(Seconds(3));
  this->RestartCrashedBackends();
  for (const auto& [call, outcome] : this->mesh.Outcomes()) {
    if (outcome.body != "poison") {
      CHECK_TRUE(outcome.answer && outcome.answer->kind == ResultKind::kAnswered);
    }
  }
  std::uint32_t suspects = 0;
  for (const Node& node : this->mesh.nodes) {
    suspects = std::max(suspects, node.calls->GetGauges().suspects);
  }
  CHECK_EQUAL(1, suspects);
}

// Guards against an ordinary request that is refused everywhere because two servers crashed at
// nearly the same time while both ran a copy of it.
TEST(Quarantine, SimultaneousCrashesDoNotQuarantineOrdinaryRequests) {
  for (const int apart_ms : {0, 1, 20, 100}) {
    for (Node& node : this->mesh.nodes) {
      node.backend.service_time = Milliseconds(100);
    }
    for (std::size_t i = 0; i < 24; ++i) {
      this->mesh.Call(i % this->mesh.nodes.size(), "/read", "status");
    }
    this->mesh.RunFor(Milliseconds(30));
    CHECK_TRUE(this->mesh.nodes[0].backend.running.size() *
                   this->mesh.nodes[1].backend.running.size() >
               0);
    this->mesh.KillBackend(0);
    this->mesh.RunFor(Milliseconds(apart_ms));
    this->mesh.KillBackend(1);
    this->mesh.RunFor(Seconds(5));
    this->RestartCrashedBackends();
    this->mesh.Call(2, "/read", "status");
    this->mesh.RunFor(Seconds(3));
    std::vector<std::uint64_t> later;
    for (std::size_t i = 0; i < this->mesh.nodes.size(); ++i) {
      later.push_back(this->mesh.Call(i, "/read", "status"));
    }
    this->mesh.RunFor(Seconds(3));
    for (const std::uint64_t call : later) {
      CHECK_TRUE(this->mesh.AnswerOf(call).kind == ResultKind::kAnswered);
    }
  }
}

// Guards against an ordinary request that is quarantined because its trial runs beside that of the
// request which crashes servers, and against a trial that is never decided.
TEST(Quarantine, ContestedTrialsAreDecidedOneByOne) {
  Mesh two{2, 7};
  document::ServiceDocument document = FleetDocument();
  document.locality.prefer = document::LocalityPreference::kNone;
  two.routes.Set(document);
  const auto restart = [&two] {
    for (std::size_t i = 0; i < two.nodes.size(); ++i) {
      two.nodes[i].backend.service_time = Milliseconds(100);
      if (two.nodes[i].backend.mode == BackendMode::kDead) {
        two.StartBackend(i);
      }
    }
  };
  for (int round = 0; round < 12; ++round) {
    restart();
    // Writes are not repeated at once, so that they are still suspects in the next round.
    for (int path = 0; path < 6; ++path) {
      two.Call(static_cast<std::size_t>(path) % 2, "/write", "status " + std::to_string(path));
    }
    two.RunFor(Milliseconds(20));
    two.Call(0, "/write", "poison");
    two.RunFor(Seconds(2));
  }
  CHECK_TRUE(two.backend_crashes <= 3);
  restart();
  std::vector<std::uint64_t> calls;
  for (int path = 0; path < 6; ++path) {
    calls.push_back(two.Call(0, "/write", "status " + std::to_string(path)));
    two.RunFor(Seconds(1));
  }
  for (const std::uint64_t call : calls) {
    CHECK_TRUE(two.AnswerOf(call).kind == ResultKind::kAnswered);
  }
  CHECK_TRUE(two.AnswerOf(two.Call(1, "/write", "poison")).kind != ResultKind::kAnswered);
  two.RunFor(Seconds(1));
  CHECK_TRUE(two.backend_crashes <= 3);
  STRCMP_EQUAL("", two.FirstError().c_str());
}

// The quarantine of one gate of a service with 200 gates.
TEST_GROUP(QuarantineTable) {
  details::SharedState shared{Options{}};
  details::Quarantine quarantine{shared};
  FakeMembers members{"gate 100"};
  FakeRoutes routes;
  utils::Timestamp now{Seconds(100)};
  std::vector<Effect> effects;
  std::deque<Message> local;
  details::Context context{now, members, routes, effects, local};

  void setup() override {
    for (int i = 100; i < 300; ++i) {
      membership::Member member;
      member.id = "gate " + std::to_string(i);
      member.service = "fleet";
      member.state = membership::MemberState::kReady;
      this->members.Set(member);
    }
  }
  std::set<std::string> Receivers() {
    std::set<std::string> receivers;
    for (const Effect& effect : this->effects) {
      if (const auto* send = std::get_if<SendMessage>(&effect)) {
        receivers.insert(send->to);
      }
    }
    this->effects.clear();
    return receivers;
  }
};

// Guards against crash reports that do not reach all gates, and against relays that send a repeated
// report again.
TEST(QuarantineTable, ReportReachesAllGatesThroughRelays) {
  this->quarantine.ReportCrash(this->context, "fleet", {7, 7, 8});
  std::set<std::string> reached = this->Receivers();
  CHECK_TRUE(reached.size() >= 63 && reached.size() <= 66);
  const std::set<std::string> direct = reached;
  const CrashReport report{"fleet", {7, 8}, "gate 100", 0, 1};
  for (const std::string& relay : direct) {
    FakeMembers view = this->members;
    FakeMembers own{relay};
    for (const membership::Member& member : *view.ServiceMembers("fleet")) {
      own.Set(member);
    }
    details::Quarantine other{this->shared};
    const details::Context at_relay{this->now, own, this->routes, this->effects, this->local};
    other.OnReport(at_relay, report);
    const std::set<std::string> share = this->Receivers();
    CHECK_TRUE(share.size() <= 3);
    reached.insert(share.begin(), share.end());
    other.OnReport(at_relay, report);
    CHECK_EQUAL(0, this->Receivers().size());
  }
  reached.insert("gate 100");
  CHECK_EQUAL(200, reached.size());
}

// Guards against counting one crash twice, and against a table that grows without bound or evicts
// quarantined requests before suspects.
TEST(QuarantineTable, CrashesCountOnceAndTheTableIsBounded) {
  const auto report = [this](std::uint64_t fingerprint, std::uint64_t crash) {
    this->quarantine.OnReport(this->context, CrashReport{"fleet", {fingerprint}, "x", 1, crash});
  };
  report(1, 1);
  report(1, 1);
  CHECK_TRUE(this->quarantine.StateOf("fleet", 1) == details::QuarantineState::kSuspect);
  CHECK_TRUE(this->quarantine.StateOf("claims", 1) == details::QuarantineState::kNone);
  // A second crash may have the same cause as the first one, and need not be this request.
  report(1, 2);
  CHECK_TRUE(this->quarantine.StateOf("fleet", 1) == details::QuarantineState::kSuspect);
  this->quarantine.OnConfirmed(this->context, CrashConfirmed{"fleet", 1});
  CHECK_TRUE(this->quarantine.StateOf("fleet", 1) == details::QuarantineState::kQuarantined);
  this->quarantine.OnCleared(this->context, CrashCleared{"fleet", 1});
  CHECK_TRUE(this->quarantine.StateOf("fleet", 1) == details::QuarantineState::kQuarantined);
  for (std::uint64_t i = 0; i < 5'000; ++i) {
    report(1'000 + i, 3);
  }
  CHECK_EQUAL(4'096, this->quarantine.Size());
  CHECK_TRUE(this->quarantine.StateOf("fleet", 1) == details::QuarantineState::kQuarantined);
}

}  // namespace amaranthlatch::calls::testing
