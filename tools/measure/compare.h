// Comparison of two builds in one run.

#pragma once

#include <cstdint>
#include <string>

#include "tools/measure/scenario.h"

namespace amaranthlatch::tools {

// Runs the scenario in turn with the build of `options` and with the baseline, `rounds` times each,
// and reports for each figure the median ratio to the baseline with its lowest and highest value.
// Returns the exit code of the measuring tool.
int Compare(Scenario& scenario, const ScenarioOptions& options, const std::string& baseline_build,
            std::uint32_t rounds, Report& report);

}  // namespace amaranthlatch::tools
