// Mesh configurations for tests.

#pragma once

#include <string>
#include <vector>

#include "amaranthlatch/directory/mesh_configuration.h"

namespace amaranthlatch::directory::testing {

inline HostRoute MakeRoute(const std::string& host, const std::string& prefix) {
  HostRoute host_route;
  host_route.host = host;
  host_route.route.name = prefix;
  host_route.route.path_prefix = prefix;
  host_route.route.split = {{"fleet", "", 1}};
  host_route.route.strict_split = true;
  host_route.route.max_attempts = 2;
  host_route.route.deadline = utils::Seconds(2);
  host_route.route.max_request_bytes = 1U << 20U;
  host_route.route.max_response_bytes = 1U << 20U;
  return host_route;
}

// Returns a configuration of the service "fleet" on host "fleet.example" with the routes /read/
// (idempotent) and /write/.
inline MeshConfiguration::Pointer MakeConfiguration(document::Version version) {
  std::vector<HostRoute> routes = {MakeRoute("fleet.example", "/read/"),
                                   MakeRoute("fleet.example", "/write/")};
  routes.front().route.idempotent = true;
  ServiceDefaults defaults;
  defaults.protection.slots = 100;
  defaults.protection.queue_length = 100;
  defaults.protection.queue_time = utils::Seconds(2);
  defaults.protection.retry_budget_percent = 10;
  defaults.protection.max_attempts = 2;
  return *MeshConfiguration::Create(version, ShareRoutes(std::move(routes)),
                                    {{"fleet", "/health", 10}}, defaults);
}

}  // namespace amaranthlatch::directory::testing
