// Rollouts of good and bad versions on a mesh without faults.

#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>
#include <vector>

#include "rollout_mesh.h"

namespace amaranthlatch::rollout::testing {

namespace {

using utils::Duration;
using utils::Seconds;

constexpr std::uint64_t kSeeds = 3;

std::vector<std::pair<std::string, Fault>> BadVersions() {
  std::vector<std::pair<std::string, Fault>> result;
  Fault fails;
  fails.failure_share = 0.5;
  Fault slow;
  slow.slow_factor = 8.0;
  for (const auto& [name, kind] : {std::pair("fails", fails), std::pair("is slow", slow)}) {
    const std::string text = name;
    Fault late = kind;
    late.from = Seconds(3);
    Fault under_load = kind;
    under_load.min_running = 2;
    Fault one_route = kind;
    one_route.route = "pay";
    result.insert(result.end(), {{text, kind},
                                 {text + " late", late},
                                 {text + " under load", under_load},
                                 {text + " on one route", one_route}});
  }
  return result;
}

}  // namespace

TEST_GROUP(Rollout){};

// Guards against a bad version that is completed, that receives more than its share of the requests
// or that still runs after its stop.
TEST(Rollout, BadVersionsAreRolledBack) {
  for (const auto& [name, fault] : BadVersions()) {
    for (const double rate : {100.0, 200.0}) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        Setup setup;
        setup.seed = seed;
        setup.rate = rate;
        setup.bad_version = fault;
        Mesh mesh(setup);
        mesh.Finish();
        Expect(mesh.CheckBad(), name + " at " + std::to_string(rate));
      }
    }
  }
}

// Guards against a good version that is rolled back because the service is slow or failing, because
// its servers are cold or differ in speed, or because of a short or long duration.
TEST(Rollout, GoodVersionsComplete) {
  struct Case {
    std::string name;
    Fault service;
    Duration cold{};
    bool in_window = false;
  };
  Fault failing;
  failing.failure_share = 0.1;
  Fault slow;
  slow.slow_factor = 5.0;
  const std::vector<Case> cases = {{"healthy", {}},
                                   {"cold", {}, Seconds(3)},
                                   {"failing", failing, Seconds(3)},
                                   {"slow", slow, Seconds(3)},
                                   {"slow for some time", slow, Seconds(3), true}};
  for (const Case& kind : cases) {
    for (const Duration duration : {Seconds(4), Seconds(12), Seconds(600)}) {
      for (std::uint64_t seed = 1; seed <= (duration == Seconds(600) ? 1 : kSeeds); ++seed) {
        Setup setup;
        setup.seed = seed;
        setup.duration = duration;
        setup.mixed_speeds = true;
        // In 4 s a server that is cold for 3 s cannot show anything.
        setup.cold = duration == Seconds(4) ? Duration{} : kind.cold;
        setup.service = kind.service;
        if (kind.in_window) {
          setup.service.from = duration / 3;
          setup.service.until = duration * 6 / 10;
        }
        Mesh mesh(setup);
        mesh.Finish();
        Expect(mesh.CheckGood(),
               kind.name + " in " + std::to_string(utils::ToMilliseconds(duration)) + " ms");
      }
    }
  }
}

// Guards against the completion of a bad version for lack of calls that show it, and against a
// coordinator that cannot serve a large service.
TEST(Rollout, LowVolumeDoesNotCompleteABadVersion) {
  for (const auto& [name, fault] : BadVersions()) {
    if (fault.min_running > 0) {
      // Ten calls per node are no load.
      continue;
    }
    Setup setup;
    setup.old_nodes = 150;
    setup.new_nodes = 150;
    setup.rate = 10.0 * 300.0 / 12.0;
    setup.bad_version = fault;
    Mesh mesh(setup);
    mesh.Finish();
    Expect(mesh.CheckAlways(), name);
    CHECK_TRUE_TEXT(mesh.Verdict() == State::kRolledBack, (name + mesh.Describe()).c_str());
    CHECK_TRUE_TEXT(mesh.exposure <= mesh.calls / 10 + 50, (name + mesh.Describe()).c_str());
  }
  // Fewer calls than any version could be judged by.
  Setup setup;
  setup.rate = 0.5;
  setup.bad_version = BadVersions().front().second;
  Mesh mesh(setup);
  mesh.Finish();
  CHECK_TRUE(mesh.Verdict() == State::kRolledBack);
}

// Guards against an order that never ends because no server has its version, and against one that
// interrupts the service because all of them have.
TEST(Rollout, OrdersWithoutAServerAndForTheVersionInPlaceEnd) {
  Setup setup;
  setup.new_nodes = 0;
  Mesh mesh(setup);
  mesh.Finish();
  CHECK_TRUE(mesh.Verdict() == State::kRolledBack);
  mesh.PlaceOrder("1", Seconds(12));
  mesh.RunFor(Seconds(12));
  CHECK_TRUE(mesh.Verdict() == State::kComplete);
  CHECK_EQUAL(0, mesh.refused);
}

// Guards against orders without a target or a duration that end a rollout or close gates.
TEST(Rollout, InvalidOrdersAreRejected) {
  Setup setup;
  setup.new_nodes = 0;
  Mesh mesh(setup);
  mesh.RunFor(Seconds(2));
  mesh.PlaceOrder("2", Duration{});
  mesh.PlaceOrder("", Seconds(10));
  mesh.RunFor(Seconds(4));
  for (const Node& node : mesh.nodes) {
    CHECK_EQUAL(2, node.rollout->GetCounters().orders_invalid);
    CHECK_TRUE(node.rollout->GetGauges().active);
  }
  CHECK_EQUAL(0, mesh.refused);
}

// Guards against a version that serves although an order for it may be on its way, and against one
// that is held for good although there is none.
TEST(Rollout, UnexplainedVersionsAreHeldForSomeTime) {
  Setup setup;
  Mesh mesh(setup);
  CHECK_TRUE(mesh.RunUntil([&mesh] { return mesh.Verdict() == State::kComplete; }));
  mesh.StartNode(mesh.AddNode("9"));
  mesh.RunFor(Seconds(3));
  CHECK_EQUAL(0, mesh.runs["9"]);
  mesh.RunFor(Seconds(2));
  CHECK_TRUE(mesh.runs["9"] > 0);
}

// Guards against servers that serve again after a verdict: replaced ones after a completion, those
// of the target version after a rollback, whether their node knows the verdict or was restarted.
TEST(Rollout, VerdictsOutliveTheirRollout) {
  for (const bool is_good : {true, false}) {
    Setup setup;
    setup.bad_version.failure_share = is_good ? 0.0 : 0.5;
    Mesh mesh(setup);
    CHECK_TRUE(mesh.RunUntil([&mesh] { return mesh.Verdict() != State::kRunning; }));
    mesh.RunFor(Seconds(1));
    const std::string closed = is_good ? "1" : "2";
    const std::uint64_t runs = mesh.runs[closed];
    for (std::size_t i = 0; i < mesh.nodes.size(); ++i) {
      if (mesh.nodes[i].version == closed && i % 2 == 0) {
        mesh.Restart(i, Seconds(1));
      }
    }
    mesh.RunFor(Seconds(6));
    CHECK_EQUAL(runs, mesh.runs[closed]);
    CHECK_EQUAL(0, mesh.refused);
  }
}

// Guards against reducers that cost something on nodes whose service has no order.
TEST(Rollout, NothingHappensWithoutAnOrder) {
  Options options;
  options.id = "10.0.0.1:1";
  Rollout rollout = std::move(*Rollout::Create(options));
  membership::Member self;
  self.id = options.id;
  const membership::details::MemberTable members(self);
  const utils::Timestamp now(Seconds(1000));
  const Order other{"other", "2", Seconds(10), 1};
  CHECK_TRUE(rollout.Reduce(OrdersChanged{{other}}, now, members).empty());
  const BackendServerChanged server{"fleet", "1", 8, true, {}};
  CHECK_TRUE(rollout.Reduce(server, now, members).empty());
  CHECK_TRUE(rollout.Reduce(RunStarted{1, "list"}, now, members).empty());
  CHECK_TRUE(rollout.Reduce(RunEnded{1, RunOutcome::kFailed}, now, members).empty());
  CHECK_TRUE(!rollout.NextWake());
  CHECK_TRUE(rollout.Admission() == (AdmissionChanged{true, true}));
}

}  // namespace amaranthlatch::rollout::testing
