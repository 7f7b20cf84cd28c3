// Comparison of two builds in one run.

#include "tools/measure/compare.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <vector>

namespace amaranthlatch::tools {

namespace {

constexpr int kExitViolated = 1;
constexpr int kExitNotStarted = 3;

bool RunInto(Scenario& scenario, const ScenarioOptions& options, Report& report) {
  const auto result = scenario.Run(options, report);
  if (!result) {
    std::cerr << ToString(result.error()) << '\n';
  }
  return result.has_value();
}

// Ratio of each figure that both reports have and whose baseline is not 0.
void CollectRatios(const Report& current, const Report& baseline,
                   std::map<std::string, std::vector<double>>& ratios) {
  for (const Figure& figure : current.Figures()) {
    for (const Figure& base : baseline.Figures()) {
      if (base.name == figure.name && base.value != 0) {
        ratios[figure.name].push_back(figure.value / base.value);
      }
    }
  }
}

}  // namespace

int Compare(Scenario& scenario, const ScenarioOptions& options, const std::string& baseline_build,
            std::uint32_t rounds, Report& report) {
  ScenarioOptions baseline_options = options;
  baseline_options.build_directory = baseline_build;
  std::map<std::string, std::vector<double>> ratios;
  for (std::uint32_t i = 0; i < rounds; ++i) {
    Report current;
    Report baseline;
    if (!RunInto(scenario, baseline_options, baseline) || !RunInto(scenario, options, current)) {
      return kExitNotStarted;
    }
    CollectRatios(current, baseline, ratios);
    for (const std::string& text : current.Violations()) {
      report.AddViolation(text);
    }
  }
  for (auto& [name, values] : ratios) {
    std::sort(values.begin(), values.end());
    report.Add(name, Percentile(values, 0.5), "median ratio to the baseline");
    report.Add(name + ", lowest", values.front(), "ratio");
    report.Add(name + ", highest", values.back(), "ratio");
  }
  return report.Violations().empty() ? 0 : kExitViolated;
}

}  // namespace amaranthlatch::tools
