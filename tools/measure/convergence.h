// Convergence time and control bytes of configuration changes.

#pragma once

#include "tools/measure/scenario.h"

namespace amaranthlatch::tools {

// Publishes changes one by one and waits until each is in force on every node; the times
// come from the audit trails of the nodes (wall clock of one machine). Reports control bytes,
// processor time and memory of a node while idle and for each change.
class ConvergenceScenario : public Scenario {
 public:
  std::string Name() const override { return "convergence"; }
  std::string Summary() const override {
    return "time until a change is in force everywhere, control bytes idle and per change";
  }
  utils::Result<void> Run(const ScenarioOptions& options, Report& report) override;
};

}  // namespace amaranthlatch::tools
