// Measurements of the policies for calls: drain, crashing requests, overload, silent connections.

#pragma once

#include "tools/measure/scenario.h"

namespace amaranthlatch::tools {

// Ends one backend server gracefully under load; no call may be cut, and no new work may reach it
// later than 3 s after it took leave.
class DrainScenario : public Scenario {
 public:
  std::string Name() const override { return "drain"; }
  std::string Summary() const override { return "time to the last new work of a leaving server"; }
  utils::Result<void> Run(const ScenarioOptions& options, Report& report) override;
};

// Sends a request that crashes backend servers again and again through all nodes while crashed
// servers are restarted; counts the crashes.
class PoisonScenario : public Scenario {
 public:
  std::string Name() const override { return "poison"; }
  std::string Summary() const override { return "crashes per poisoned request, mesh-wide"; }
  utils::Result<void> Run(const ScenarioOptions& options, Report& report) override;
};

// Offers 0.5 to 10 times the capacity of the slots and reports the goodput.
class OverloadScenario : public Scenario {
 public:
  std::string Name() const override { return "overload"; }
  std::string Summary() const override { return "goodput over offered load"; }
  utils::Result<void> Run(const ScenarioOptions& options, Report& report) override;
};

// Lets the open connections of one backend server go silent under load.
class SilentScenario : public Scenario {
 public:
  std::string Name() const override { return "silent"; }
  std::string Summary() const override { return "open connections go silent, new ones work"; }
  utils::Result<void> Run(const ScenarioOptions& options, Report& report) override;
};

}  // namespace amaranthlatch::tools
