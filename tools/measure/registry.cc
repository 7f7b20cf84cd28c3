// All scenarios by name.

#include <utility>

#include "tools/measure/convergence.h"
#include "tools/measure/demo.h"
#include "tools/measure/faults.h"
#include "tools/measure/latency.h"
#include "tools/measure/policies.h"
#include "tools/measure/recovery.h"
#include "tools/measure/scenario.h"
#include "tools/measure/zone_pause.h"

namespace amaranthlatch::tools {

std::vector<std::unique_ptr<Scenario>> AllScenarios() {
  std::vector<std::unique_ptr<Scenario>> scenarios;
  scenarios.push_back(std::make_unique<DemoScenario>());
  scenarios.push_back(std::make_unique<ConvergenceScenario>());
  scenarios.push_back(std::make_unique<LatencyScenario>());
  scenarios.push_back(std::make_unique<FaultsScenario>());
  scenarios.push_back(std::make_unique<DrainScenario>());
  scenarios.push_back(std::make_unique<PoisonScenario>());
  scenarios.push_back(std::make_unique<OverloadScenario>());
  scenarios.push_back(std::make_unique<SilentScenario>());
  scenarios.push_back(std::make_unique<HerdScenario>());
  scenarios.push_back(std::make_unique<OutageScenario>());
  scenarios.push_back(std::make_unique<ZonePauseScenario>());
  return scenarios;
}

std::unique_ptr<Scenario> FindScenario(const std::string& name) {
  for (std::unique_ptr<Scenario>& scenario : AllScenarios()) {
    if (scenario->Name() == name) {
      return std::move(scenario);
    }
  }
  return nullptr;
}

}  // namespace amaranthlatch::tools
