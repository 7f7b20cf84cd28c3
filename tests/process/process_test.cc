// Tests of real processes: each runs a scenario of the measuring tool, small, and checks that no
// promise was broken. A failing run prints the violations.

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <filesystem>
#include <iostream>
#include <string>

#include "tools/measure/scenario.h"

namespace amaranthlatch::tools {

namespace {

ScenarioOptions SmallOptions(const std::string& name, std::uint64_t seed) {
  ScenarioOptions options;
  options.build_directory = AMARANTHLATCH_BUILD_DIR;
  options.work_directory = std::filesystem::temp_directory_path() /
                           ("amaranthlatch-test-" + name + "-" + std::to_string(getpid()));
  options.seed = seed;
  options.duration = std::chrono::seconds(4);
  return options;
}

void RunScenario(const std::string& name, std::uint64_t seed = 1) {
  const auto scenario = FindScenario(name);
  CHECK_TRUE(scenario != nullptr);
  const ScenarioOptions options = SmallOptions(name, seed);
  Report report;
  const auto result = scenario->Run(options, report);
  std::error_code ignored;
  std::filesystem::remove_all(options.work_directory, ignored);
  if (!result) {
    std::cout << name << " with seed " << seed << ": " << ToString(result.error()) << '\n';
  }
  for (const std::string& violation : report.Violations()) {
    std::cout << name << " with seed " << seed << ": " << violation << '\n';
  }
  CHECK_TRUE(result.has_value());
  CHECK_TRUE(report.Violations().empty());
}

}  // namespace

TEST_GROUP(Process){};

// Guards against a path that works only in parts: publish, calls, second version, clean stop.
TEST(Process, WholePathWorks) { RunScenario("demo"); }

// Guards against requests that run twice, false refusals, foreign answers and nodes that do not
// converge when processes are killed and paused and the log fails.
TEST(Process, PromisesHoldUnderRandomFaults) { RunScenario("faults", 1); }
TEST(Process, PromisesHoldUnderOtherRandomFaults) { RunScenario("faults", 2); }

// Guards against new work for a leaving backend server and against calls cut by a shutdown.
TEST(Process, GracefulShutdownCutsNoCall) { RunScenario("drain"); }

// Guards against a request that crashes one backend server after another.
TEST(Process, PoisonedRequestCrashesAtMostTwo) { RunScenario("poison"); }

// Guards against a server that stays unused because its old connections went silent.
TEST(Process, SilentConnectionsAreReplaced) { RunScenario("silent"); }

// Guards against nodes that do not return after a mass failure.
TEST(Process, ManyNodesReturnTogether) { RunScenario("herd"); }

// Guards against a restarted node that needs the log, or serves an older state without it.
TEST(Process, NodeRestartsWhileTheLogIsDown) { RunScenario("outage"); }

// Guards against changes that are not in force everywhere within 9 s.
TEST(Process, ChangesConverge) { RunScenario("convergence"); }

// Guards against a zone that stays behind, or whose work runs twice, after it stopped and returned.
TEST(Process, StoppedZoneCatchesUp) { RunScenario("zone-pause"); }

}  // namespace amaranthlatch::tools
