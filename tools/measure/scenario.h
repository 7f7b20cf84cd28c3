// A measurement that can be run by name.

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "amaranthlatch/utils/result.h"
#include "tools/measure/report.h"
#include "tools/support/deployment.h"

namespace amaranthlatch::tools {

struct ScenarioOptions {
  std::string build_directory;
  std::string work_directory;
  // Number of zones and of nodes in each zone and service.
  std::uint32_t zones = 3;
  std::uint32_t nodes_per_zone = 1;
  std::uint32_t services = 2;
  std::uint64_t seed = 1;
  // Value of the setting `spread` of the nodes.
  std::string spread = "tree";
  // Value of the setting `profile`; empty leaves it out.
  std::string profile;
  std::chrono::milliseconds duration{10000};
};

class Scenario {
 public:
  virtual ~Scenario() = default;
  virtual std::string Name() const = 0;
  virtual std::string Summary() const = 0;
  virtual utils::Result<void> Run(const ScenarioOptions& options, Report& report) = 0;
};

std::vector<std::unique_ptr<Scenario>> AllScenarios();

// Null for an unknown name.
std::unique_ptr<Scenario> FindScenario(const std::string& name);

// Starts a deployment of the size in `options`, waits until its members know each other, and
// publishes a document for each service.
utils::Result<std::unique_ptr<Deployment>> StartDeployment(const ScenarioOptions& options,
                                                           bool backend_servers);

// Zones of one of the two regions "west" and "east" each, two zones a region.
DeploymentOptions PlanDeployment(const ScenarioOptions& options);

}  // namespace amaranthlatch::tools
