// The measuring tool: runs one scenario on real processes and prints its figures.

#include <curl/curl.h>
#include <docopt/docopt.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>

#include "tools/measure/compare.h"
#include "tools/measure/scenario.h"

namespace {

using amaranthlatch::tools::Report;
using amaranthlatch::tools::Scenario;
using amaranthlatch::tools::ScenarioOptions;

constexpr char kUsage[] = R"(Measures amaranthlatch on real processes on loopback.

Usage:
  measure list
  measure run SCENARIO [options]
  measure compare SCENARIO --baseline=DIR [--rounds=N] [options]
  measure --help

Options:
  --build=DIR           Build directory [default: build].
  --baseline=DIR        Build directory of the revision to compare with.
  --rounds=N            Rounds of each build in a comparison [default: 3].
  --zones=N             Zones, two a region [default: 3].
  --nodes-per-zone=N    Nodes for each service in a zone [default: 1].
  --services=N          Services [default: 2].
  --seconds=N           Length of the measurement [default: 10].
  --seed=N              Seed of random choices [default: 1].
  --spread=NAME         tree, gossip or poll [default: tree].
  --profile=NAME        convergence or bytes.
  --json=FILE           Also writes the figures there.
  --keep                Keeps settings and outputs of the processes.

Exit codes: 0 measured, 1 a promise was broken, 2 usage, 3 the deployment did not start.
)";

constexpr int kExitViolated = 1;
constexpr int kExitUsage = 2;
constexpr int kExitNotStarted = 3;

ScenarioOptions OptionsFrom(const std::map<std::string, docopt::value>& args) {
  const auto number = [&args](const char* name) {
    return static_cast<std::uint32_t>(args.at(name).asLong());
  };
  ScenarioOptions options;
  options.build_directory = std::filesystem::absolute(args.at("--build").asString());
  options.work_directory = std::filesystem::temp_directory_path() /
                           ("amaranthlatch-measure-" + std::to_string(getpid()));
  options.zones = number("--zones");
  options.nodes_per_zone = number("--nodes-per-zone");
  options.services = number("--services");
  options.seed = number("--seed");
  options.duration = std::chrono::seconds(number("--seconds"));
  options.spread = args.at("--spread").asString();
  if (args.at("--profile")) {
    options.profile = args.at("--profile").asString();
  }
  return options;
}

int RunOne(Scenario& scenario, const ScenarioOptions& options, Report& report) {
  const auto result = scenario.Run(options, report);
  if (!result) {
    std::cerr << ToString(result.error()) << '\n';
    return kExitNotStarted;
  }
  return report.Violations().empty() ? 0 : kExitViolated;
}

void ListScenarios() {
  for (const auto& scenario : amaranthlatch::tools::AllScenarios()) {
    std::cout << scenario->Name() << ": " << scenario->Summary() << '\n';
  }
}

}  // namespace

int main(int argc, char** argv) {
  const auto args = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  if (args.at("list").asBool()) {
    ListScenarios();
    return 0;
  }
  const ScenarioOptions options = OptionsFrom(args);
  auto scenario = amaranthlatch::tools::FindScenario(args.at("SCENARIO").asString());
  if (!scenario) {
    std::cerr << "unknown scenario; see: measure list\n";
    return kExitUsage;
  }
  Report report;
  int exit_code = 0;
  if (args.at("compare").asBool()) {
    exit_code = amaranthlatch::tools::Compare(
        *scenario, options, std::filesystem::absolute(args.at("--baseline").asString()),
        static_cast<std::uint32_t>(args.at("--rounds").asLong()), report);
  } else {
    exit_code = RunOne(*scenario, options, report);
  }
  std::cout << report.ToTable();
  if (args.at("--json")) {
    std::ofstream(args.at("--json").asString()) << report.ToJson().dump(2) << '\n';
  }
  if (!args.at("--keep").asBool()) {
    std::error_code ignored;
    std::filesystem::remove_all(options.work_directory, ignored);
  }
  return exit_code;
}
