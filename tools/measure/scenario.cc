// Common parts of the scenarios.

#include "tools/measure/scenario.h"

#include <utility>

namespace amaranthlatch::tools {

namespace {
constexpr std::chrono::milliseconds kStartTimeout{30'000};
constexpr std::uint32_t kZonesPerRegion = 2;
}  // namespace

DeploymentOptions PlanDeployment(const ScenarioOptions& options) {
  DeploymentOptions plan;
  plan.build_directory = options.build_directory;
  plan.work_directory = options.work_directory;
  for (std::uint32_t i = 0; i < options.zones; ++i) {
    plan.zones.push_back(ZoneOptions{"region-" + std::to_string(i / kZonesPerRegion + 1),
                                     "zone-" + std::to_string(i + 1)});
  }
  for (std::uint32_t i = 0; i < options.services; ++i) {
    ServiceOptions service;
    service.name = "service-" + std::to_string(i + 1);
    service.nodes_per_zone = options.nodes_per_zone;
    plan.services.push_back(std::move(service));
  }
  plan.node_settings["spread"] = options.spread;
  if (!options.profile.empty()) {
    plan.node_settings["profile"] = options.profile;
  }
  return plan;
}

utils::Result<std::unique_ptr<Deployment>> StartDeployment(const ScenarioOptions& options,
                                                           bool backend_servers) {
  DeploymentOptions plan = PlanDeployment(options);
  plan.backend_servers = backend_servers;
  const std::vector<ServiceOptions> services = plan.services;
  auto deployment = Deployment::Start(std::move(plan));
  if (!deployment) {
    return deployment;
  }
  std::uint64_t offset = 0;
  for (const ServiceOptions& service : services) {
    const auto published = (*deployment)->Publish(MakeDocument(service, 1), std::nullopt);
    if (!published) {
      return tl::unexpected(published.error());
    }
    offset = *published;
  }
  if (!(*deployment)->WaitInForce(offset, kStartTimeout)) {
    return utils::Fail(utils::ErrorCode::kNotReady, "not all nodes are in force after the start");
  }
  if (!(*deployment)->WaitMembers((*deployment)->Nodes().size(), kStartTimeout)) {
    return utils::Fail(utils::ErrorCode::kNotReady, "not all nodes list all members");
  }
  return deployment;
}

}  // namespace amaranthlatch::tools
