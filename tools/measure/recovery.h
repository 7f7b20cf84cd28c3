// Measurements of recovery: many nodes at once, and starts while the log is down.

#pragma once

#include "tools/measure/scenario.h"

namespace amaranthlatch::tools {

// Kills two thirds of all nodes at once and starts them again together.
class HerdScenario : public Scenario {
 public:
  std::string Name() const override { return "herd"; }
  std::string Summary() const override { return "time and bytes of the return of many nodes"; }
  utils::Result<void> Run(const ScenarioOptions& options, Report& report) override;
};

// Takes the log down, kills one node and starts it again: it must become ready from its peers, at
// an offset not below the one it had; then the log returns and a change must converge.
class OutageScenario : public Scenario {
 public:
  std::string Name() const override { return "outage"; }
  std::string Summary() const override { return "restart of a node while the log is down"; }
  utils::Result<void> Run(const ScenarioOptions& options, Report& report) override;
};

}  // namespace amaranthlatch::tools
