// Random process faults under load and publishing.

#pragma once

#include "tools/measure/scenario.h"

namespace amaranthlatch::tools {

// Kills, restarts, stops and continues nodes and backend servers, and takes the log down, slows it
// and loses its answers, in an order drawn from the seed, while callers send every kind of request
// and documents are published. Checks run counts and that all nodes converge afterwards.
class FaultsScenario : public Scenario {
 public:
  std::string Name() const override { return "faults"; }
  std::string Summary() const override {
    return "random kills, pauses and log faults under load; run counts are the judge";
  }
  utils::Result<void> Run(const ScenarioOptions& options, Report& report) override;
};

}  // namespace amaranthlatch::tools
