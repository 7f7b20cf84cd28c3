// Added latency of calls.

#pragma once

#include "tools/measure/scenario.h"

namespace amaranthlatch::tools {

// Sends calls through the mesh and directly to the backend servers in turn, 1, 3 and 9 levels deep,
// and compares the percentiles; then the calls a second that one pair of nodes carries.
class LatencyScenario : public Scenario {
 public:
  std::string Name() const override { return "latency"; }
  std::string Summary() const override {
    return "latency added to a call against a direct call, at 1, 3 and 9 levels";
  }
  utils::Result<void> Run(const ScenarioOptions& options, Report& report) override;
};

}  // namespace amaranthlatch::tools
