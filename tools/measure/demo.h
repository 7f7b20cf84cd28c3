// The main job, shown once: the whole path on loopback.

#pragma once

#include "tools/measure/scenario.h"

namespace amaranthlatch::tools {

// Starts the stand-ins and three zones of nodes, publishes a document with the command line, sends
// calls through it, publishes a second version under load, and stops everything.
class DemoScenario : public Scenario {
 public:
  std::string Name() const override { return "demo"; }
  std::string Summary() const override {
    return "the whole path: publish, calls, second version under load, clean stop";
  }
  utils::Result<void> Run(const ScenarioOptions& options, Report& report) override;
};

}  // namespace amaranthlatch::tools
