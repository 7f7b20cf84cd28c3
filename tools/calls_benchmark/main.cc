// Measures the policies of the calls library. Usage: calls_benchmark [NAME...], JSON on standard
// output; without a name all measurements run.

#include <algorithm>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "scenarios.h"

int main(int argc, char** argv) {
  namespace benchmark = amaranthlatch::calls::benchmark;
  using Measurement = nlohmann::json (*)();
  const std::vector<std::pair<std::string, Measurement>> measurements = {
      {"goodput", benchmark::MeasureGoodput},
      {"outage", benchmark::MeasureOutage},
      {"starvation", benchmark::MeasureStarvation},
      {"mixed", benchmark::MeasureMixed},
      {"crashes", benchmark::MeasureCrashes},
      {"balance", benchmark::MeasureBalance},
      {"costs", benchmark::MeasureCosts}};
  const std::vector<std::string> wanted(argv + 1, argv + argc);
  nlohmann::json report;
  for (const auto& [name, measure] : measurements) {
    if (wanted.empty() || std::find(wanted.begin(), wanted.end(), name) != wanted.end()) {
      report[name] = measure();
    }
  }
  std::cout << report.dump(1) << "\n";
  return 0;
}
