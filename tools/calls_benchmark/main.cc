// Measures the policies of the calls library and plays load patterns. JSON on standard output.

#include <docopt/docopt.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "pattern_player.h"
#include "scenarios.h"

namespace {

namespace benchmark = amaranthlatch::calls::benchmark;

constexpr char kUsage[] = R"(Measures the policies of the calls library on simulated time.

Usage:
  calls_benchmark play PATTERN [options]
  calls_benchmark [NAME...]
  calls_benchmark --help

Plays a load pattern (a JSON file, see tools/calls_benchmark/patterns), or runs the measurements
with these names, all without one.

Options:
  --load=F       Factor of all call rates [default: 1].
  --seed=N       Seed of random choices [default: 1].
  --seconds=S    Time in which calls are made, in place of that of the pattern.
  --json=FILE    Writes the results there instead of to standard output.
  --adaptive     Gates adapt their concurrency limit, which register mode disables.
  --svg=FILE     Writes a plot of the goodput by second.

Exit codes: 0 measured, 1 a promise was broken, 2 usage.
)";

constexpr int kExitViolated = 1;
constexpr int kExitUsage = 2;

using Arguments = std::map<std::string, docopt::value>;

int Play(const Arguments& args) {
  const auto pattern = benchmark::ReadLoadPattern(args.at("PATTERN").asString());
  if (!pattern) {
    std::cerr << ToString(pattern.error()) << "\n";
    return kExitUsage;
  }
  benchmark::PlayOptions options;
  options.load = std::stod(args.at("--load").asString());
  options.seed = std::stoull(args.at("--seed").asString());
  options.seconds = args.at("--seconds") ? std::stod(args.at("--seconds").asString()) : 0.0;
  options.adaptive_limit = args.at("--adaptive").asBool();
  const benchmark::PatternResult result = benchmark::PlayPattern(*pattern, options);
  nlohmann::json report = result.ToJson();
  report["pattern"] = args.at("PATTERN").asString();
  report["load"] = options.load;
  report["seed"] = options.seed;
  if (args.at("--json")) {
    std::ofstream(args.at("--json").asString()) << report.dump(1) << "\n";
  } else {
    std::cout << report.dump(1) << "\n";
  }
  if (args.at("--svg")) {
    std::ofstream(args.at("--svg").asString()) << result.ToSvg();
  }
  return result.first_error.empty() ? 0 : kExitViolated;
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments args = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  if (args.at("play").asBool()) {
    return Play(args);
  }
  using Measurement = nlohmann::json (*)();
  const std::vector<std::pair<std::string, Measurement>> measurements = {
      {"goodput", benchmark::MeasureGoodput},
      {"outage", benchmark::MeasureOutage},
      {"starvation", benchmark::MeasureStarvation},
      {"mixed", benchmark::MeasureMixed},
      {"crashes", benchmark::MeasureCrashes},
      {"balance", benchmark::MeasureBalance},
      {"costs", benchmark::MeasureCosts}};
  const std::vector<std::string> wanted = args.at("NAME").asStringList();
  nlohmann::json report;
  for (const auto& [name, measure] : measurements) {
    if (wanted.empty() || std::find(wanted.begin(), wanted.end(), name) != wanted.end()) {
      report[name] = measure();
    }
  }
  std::cout << report.dump(1) << "\n";
  return 0;
}
