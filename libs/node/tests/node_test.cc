// Randomised runs of whole nodes with fixed seeds.

#include <CppUTest/TestHarness.h>

#include <string>

#include "node_mesh.h"

namespace amaranthlatch::node::testing {

namespace {

constexpr std::uint64_t kSeeds = 12;
constexpr int kFaultKinds = 9;

// The node that first has a new version in force restarts when the log has just gone down: the
// hardest case of promise P1, because only zone peers can know the version.
void RestartFirstInForce(NodeMesh& mesh) {
  mesh.Publish("field-log", true);
  for (int i = 0; i < 2'000; ++i) {
    mesh.Run(utils::Duration(500));
    for (const membership::NodeId& id : mesh.ids) {
      if (mesh.IsUp(id) && mesh.At(id).InForce().HeadOffset() == mesh.config.size()) {
        mesh.faults.log_down = true;
        mesh.Start(id);
        return;
      }
    }
  }
}

void Draw(NodeMesh& mesh, std::uint64_t kind) {
  const membership::NodeId id = mesh.ids[mesh.random.Uniform(mesh.ids.size())];
  switch (kind) {
    case 0:
      mesh.faults.loss = 0.1;
      mesh.faults.repeat = 0.1;
      mesh.faults.delay = utils::Milliseconds(200);
      break;
    case 1:
      mesh.faults.cut_zones.insert("z" + std::to_string(mesh.random.Uniform(3)));
      break;
    case 2:
      mesh.faults.log_down = true;
      break;
    case 3:
      mesh.faults.log_slow = true;
      break;
    case 4:
      mesh.Start(id);
      break;
    case 5:
      mesh.Pause(id, utils::Milliseconds(500) + mesh.random.Jitter(utils::Seconds(8)));
      break;
    case 6:
      mesh.CrashBackendServer(id);
      break;
    case 7:
      RestartFirstInForce(mesh);
      break;
    default:
      // A third of the nodes die and come back together.
      for (const membership::NodeId& each : mesh.ids) {
        if (mesh.random.Bernoulli(0.33)) {
          mesh.Start(each);
        }
      }
  }
}

// Some seconds of publishing and calls.
void Work(NodeMesh& mesh, int steps) {
  for (int i = 0; i < steps; ++i) {
    const std::uint64_t choice = mesh.random.Uniform(8);
    if (choice == 0) {
      mesh.Publish(mesh.random.Bernoulli(0.5) ? "field-log" : "claims-ledger", true);
    } else if (choice == 1) {
      mesh.Publish("claims-ledger", mesh.random.Bernoulli(0.5));
    } else if (choice == 2) {
      mesh.RepeatPublish();
    }
    const membership::NodeId& id = mesh.ids[mesh.random.Uniform(mesh.ids.size())];
    if (mesh.IsUp(id)) {
      mesh.SendCall(id, mesh.random.Bernoulli(0.5));
    }
    mesh.Run(utils::Milliseconds(100));
  }
}

void CheckPromises(NodeMesh& mesh, std::uint64_t seed, const std::string& when) {
  mesh.CheckCalls();
  if (!mesh.Violation().empty()) {
    FAIL((when + ", seed " + std::to_string(seed) + ": " + mesh.Violation()).c_str());
  }
}

void CheckConverged(NodeMesh& mesh, std::uint64_t seed, const std::string& when) {
  CheckPromises(mesh, seed, when);
  if (!mesh.Converged()) {
    FAIL((when + ", seed " + std::to_string(seed) + ": " + mesh.Describe()).c_str());
  }
}

// Draws the faults, works under them, ends them and checks that everything recovers.
void RunWithFaults(std::uint64_t seed, int faults_at_once, int rounds) {
  NodeMesh mesh(seed, 3, 4);
  mesh.Run(utils::Seconds(10));
  CheckConverged(mesh, seed, "after the start");
  for (int round = 0; round < rounds; ++round) {
    for (int i = 0; i < faults_at_once; ++i) {
      Draw(mesh, mesh.random.Uniform(kFaultKinds));
    }
    Work(mesh, 60);
    CheckPromises(mesh, seed, "under faults");
    mesh.faults = {};
    Work(mesh, 20);
  }
  mesh.Run(utils::Seconds(20));
  CheckConverged(mesh, seed, "20 s after the faults");
  CHECK_TRUE(mesh.Answered(calls::ResultKind::kAnswered) > 0);
}

}  // namespace

TEST_GROUP(Node){};

// Guards against broken promises P1, P2, P3, P9 and false answers when one fault strikes.
TEST(Node, PromisesHoldUnderEachFaultAlone) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RunWithFaults(seed, 1, 1);
  }
}

// Guards against the same where faults strike together.
TEST(Node, PromisesHoldUnderFaultsTogether) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RunWithFaults(seed + 100, 3, 1);
  }
}

// Guards against the same where faults strike a second time, before all has recovered.
TEST(Node, PromisesHoldUnderFaultsThatComeTwice) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RunWithFaults(seed + 200, 2, 2);
  }
}

// Guards against a drain that interrupts calls (promise P8), that peers hear of too late (P7) or
// that never ends.
TEST(Node, DrainLosesNoCallAndIsSeenByCallersWithin3Seconds) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    NodeMesh mesh(seed, 3, 4);
    mesh.Run(utils::Seconds(10));
    Work(mesh, 20);
    const membership::NodeId& leaving = mesh.ids[5];
    mesh.Drain(leaving);
    Work(mesh, 30);
    for (const membership::NodeId& id : mesh.ids) {
      const membership::Member* seen = mesh.At(id).Members().Find(leaving);
      CHECK_TRUE(seen != nullptr && seen->state >= membership::MemberState::kDraining);
    }
    CHECK_TRUE(mesh.At(leaving).Members().Self().state == membership::MemberState::kLeft);
    CheckPromises(mesh, seed, "after a drain");
    CHECK_EQUAL(0U, mesh.Answered(calls::ResultKind::kUnknown));
  }
}

}  // namespace amaranthlatch::node::testing
