// Tests of the quarantine by what two crashes have in common.

#include "crash_history.h"

#include <CppUTest/TestHarness.h>

#include "mesh.h"

namespace amaranthlatch::calls::testing {

using details::CrashHistory;
using utils::ErrorCode;
using utils::Milliseconds;
using utils::Seconds;
using utils::Timestamp;

TEST_GROUP(CrashHistory){};

// Guards against a third crash on trial, after copies of a request ran at two servers before the
// first report had spread.
TEST(CrashHistory, CopiesAtTwoServersEndNoThird) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Mesh mesh(6, seed);
    document::ServiceDocument document = FleetDocument();
    document.locality.prefer = document::LocalityPreference::kNone;
    mesh.routes.Set(document);
    mesh.filter = [&mesh](std::size_t from, std::size_t to, const Message& message) {
      if (!std::holds_alternative<CrashReport>(message)) {
        return true;
      }
      mesh.At(Milliseconds(50), [&mesh, from, to, message] {
        mesh.Deliver(to, PeerMessage{mesh.NodeName(from), message});
      });
      return false;
    };
    for (int i = 0; i < 60; ++i) {
      mesh.Call(static_cast<std::size_t>(i) % 6, "/read", "common");
    }
    mesh.RunFor(Milliseconds(200));
    for (std::size_t i = 0; i < 12; ++i) {
      mesh.Call(i % 6, "/read", i < 6 ? "common" : "read " + std::to_string(i));
    }
    for (std::size_t entry = 0; mesh.backend_crashes < 2; ++entry) {
      mesh.Call(entry % 6, "/write", "poison");
      mesh.RunFor(Milliseconds(5));
    }
    mesh.RunFor(Milliseconds(200));
    for (std::size_t i = 0; i < 6; ++i) {
      if (mesh.nodes[i].backend.mode == BackendMode::kDead) {
        mesh.StartBackend(i);
      }
    }
    std::vector<std::uint64_t> poisoned;
    std::vector<std::uint64_t> common;
    for (std::size_t i = 0; i < 6; ++i) {
      poisoned.push_back(mesh.Call(i, "/write", "poison"));
      common.push_back(mesh.Call(i, "/read", "common"));
      mesh.RunFor(Milliseconds(300));
    }
    CHECK_EQUAL(2, mesh.backend_crashes);
    for (std::size_t i = 0; i < 6; ++i) {
      CHECK_TRUE(mesh.AnswerOf(poisoned[i]).code == ErrorCode::kPoisoned);
      CHECK_TRUE(mesh.AnswerOf(common[i]).kind == ResultKind::kAnswered);
    }
    STRCMP_EQUAL("", mesh.FirstError().c_str());
  }
}

// Guards against an ordinary request that is quarantined because two servers crash while they alone
// run a copy of it.
TEST(CrashHistory, LatelyCompletedRequestIsOnlySuspect) {
  Mesh mesh(2, 1);
  document::ServiceDocument document = FleetDocument();
  document.locality.prefer = document::LocalityPreference::kNone;
  mesh.routes.Set(document);
  for (int i = 0; i < 20; ++i) {
    mesh.Call(0, "/write", "status");
    mesh.RunFor(Milliseconds(2));
  }
  mesh.RunFor(Seconds(1));
  while (mesh.nodes[0].backend.running.empty() || mesh.nodes[1].backend.running.empty()) {
    mesh.Call(0, "/write", "status");
    mesh.RunFor(Milliseconds(1));
  }
  mesh.KillBackend(0);
  mesh.KillBackend(1);
  mesh.RunFor(Milliseconds(100));
  mesh.StartBackend(0);
  mesh.StartBackend(1);
  const std::uint64_t call = mesh.Call(0, "/write", "status");
  mesh.RunFor(Seconds(1));
  CHECK_TRUE(mesh.AnswerOf(call).kind == ResultKind::kAnswered);
}

// Guards against a quarantine by crashes of one server, of different services, with several
// requests in common or long apart.
TEST(CrashHistory, OnlyOneRequestOfTwoRecentCrashesCounts) {
  CrashHistory history;
  const auto add = [&history](const char* gate, std::vector<std::uint64_t> candidates, int second,
                              const char* service = "fleet") {
    CrashReport report;
    report.service = service;
    report.gate = gate;
    report.candidates = std::move(candidates);
    return history.Add(report, Timestamp(Seconds(second)));
  };
  CHECK_FALSE(add("a", {3, 1, 2}, 1).has_value());
  CHECK_FALSE(add("a", {1}, 2).has_value());
  CHECK_FALSE(add("b", {1, 2, 9}, 3, "dispatch").has_value());
  CHECK_FALSE(add("b", {3, 2, 8}, 4).has_value());
  CHECK_TRUE(add("c", {9, 3}, 5) == std::optional<std::uint64_t>(3));
  CHECK_FALSE(add("d", {8}, 20).has_value());
}

}  // namespace amaranthlatch::calls::testing
