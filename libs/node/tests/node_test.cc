// Randomized fault-injection tests of complete nodes, with fixed seeds.

#include <CppUTest/TestHarness.h>

#include <string>

#include "node_mesh.h"

namespace amaranthlatch::node::testing {

namespace {

constexpr std::uint64_t kSeeds = 12;
constexpr int kFaultKinds = 9;

// Takes the log down and restarts the first node that has a new version in force. This is the
// hardest case of guarantee P1, because only peers of its zone can know the version.
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

void InjectFault(NodeMesh& mesh, std::uint64_t kind) {
  const membership::NodeId id = mesh.ids[mesh.random.Uniform(mesh.ids.size())];
  switch (kind) {
    case 0:
      mesh.faults.loss_probability = 0.1;
      mesh.faults.duplicate_probability = 0.1;
      mesh.faults.delay = utils::Milliseconds(200);
      break;
    case 1:
      mesh.faults.partitioned_zones.insert("z" + std::to_string(mesh.random.Uniform(3)));
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
      // About a third of the nodes restart at the same time.
      for (const membership::NodeId& each : mesh.ids) {
        if (mesh.random.Bernoulli(0.33)) {
          mesh.Start(each);
        }
      }
  }
}

// Publishes records and sends calls, 100 ms per step.
void RunWorkload(NodeMesh& mesh, int steps) {
  for (int i = 0; i < steps; ++i) {
    const std::uint64_t choice = mesh.random.Uniform(8);
    if (choice == 0) {
      mesh.Publish(mesh.random.Bernoulli(0.5) ? "field-log" : "claims-ledger", true);
    } else if (choice == 1) {
      mesh.Publish("claims-ledger", mesh.random.Bernoulli(0.5));
    } else if (choice == 2) {
      mesh.PublishDuplicate();
    }
    const membership::NodeId& id = mesh.ids[mesh.random.Uniform(mesh.ids.size())];
    if (mesh.IsUp(id)) {
      mesh.SendCall(id, mesh.random.Bernoulli(0.5));
    }
    mesh.Run(utils::Milliseconds(100));
  }
}

void CheckGuarantees(NodeMesh& mesh, std::uint64_t seed, const std::string& when) {
  mesh.CheckCalls();
  if (!mesh.Violation().empty()) {
    FAIL((when + ", seed " + std::to_string(seed) + ": " + mesh.Violation()).c_str());
  }
}

void CheckConverged(NodeMesh& mesh, std::uint64_t seed, const std::string& when) {
  CheckGuarantees(mesh, seed, when);
  if (!mesh.Converged()) {
    FAIL((when + ", seed " + std::to_string(seed) + ": " + mesh.Describe()).c_str());
  }
}

// Injects faults, runs the workload under them, clears them and checks that the mesh recovers.
void RunWithFaults(std::uint64_t seed, int faults_at_once, int rounds) {
  NodeMesh mesh(seed, 3, 4);
  mesh.Run(utils::Seconds(10));
  CheckConverged(mesh, seed, "after the start");
  for (int round = 0; round < rounds; ++round) {
    for (int i = 0; i < faults_at_once; ++i) {
      InjectFault(mesh, mesh.random.Uniform(kFaultKinds));
    }
    RunWorkload(mesh, 60);
    CheckGuarantees(mesh, seed, "under faults");
    mesh.faults = {};
    RunWorkload(mesh, 20);
  }
  mesh.Run(utils::Seconds(20));
  CheckConverged(mesh, seed, "20 s after the faults");
  CHECK_TRUE(mesh.CountAnswers(calls::ResultKind::kAnswered) > 0);
}

}  // namespace

TEST_GROUP(Node){};

// Guards against violations of P1, P2, P3 and P9 and against false answers under a single fault.
TEST(Node, GuaranteesHoldUnderSingleFaults) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RunWithFaults(seed, 1, 1);
  }
}

// Guards against the same failures under simultaneous faults.
TEST(Node, GuaranteesHoldUnderSimultaneousFaults) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RunWithFaults(seed + 100, 3, 1);
  }
}

// Guards against the same failures when faults recur before the mesh has recovered.
TEST(Node, GuaranteesHoldUnderRecurringFaults) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RunWithFaults(seed + 200, 2, 2);
  }
}

// Guards against a drain that interrupts calls (guarantee P8), that peers learn of too late (P7) or
// that never ends.
TEST(Node, DrainLosesNoCallAndIsSeenByCallersWithin3Seconds) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    NodeMesh mesh(seed, 3, 4);
    mesh.Run(utils::Seconds(10));
    RunWorkload(mesh, 20);
    const membership::NodeId& leaving = mesh.ids[5];
    mesh.Drain(leaving);
    RunWorkload(mesh, 30);
    for (const membership::NodeId& id : mesh.ids) {
      const membership::Member* seen = mesh.At(id).Members().Find(leaving);
      CHECK_TRUE(seen != nullptr && seen->state >= membership::MemberState::kDraining);
    }
    CHECK_TRUE(mesh.At(leaving).Members().Self().state == membership::MemberState::kLeft);
    CheckGuarantees(mesh, seed, "after a drain");
    CHECK_EQUAL(0U, mesh.CountAnswers(calls::ResultKind::kUnknown));
  }
}

}  // namespace amaranthlatch::node::testing
