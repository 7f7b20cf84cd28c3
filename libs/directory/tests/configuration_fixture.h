// Configurations for tests.

#pragma once

#include <string>
#include <vector>

#include "amaranthlatch/directory/mesh_configuration.h"

namespace amaranthlatch::directory::testing {

inline HostRoute MakeRoute(const std::string& host, const std::string& prefix) {
  HostRoute entry;
  entry.host = host;
  entry.route.name = prefix;
  entry.route.path_prefix = prefix;
  entry.route.split = {{"fleet", "", 1}};
  entry.route.strict_split = true;
  entry.route.max_attempts = 2;
  entry.route.deadline = utils::Seconds(2);
  entry.route.max_request_bytes = 1U << 20U;
  entry.route.max_response_bytes = 1U << 20U;
  return entry;
}

// Service "fleet" at host "fleet.example" with the routes /read/ (idempotent) and /write/.
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
  return *MeshConfiguration::Create(version, std::move(routes), {{"fleet", "/health", 10}},
                                    defaults);
}

}  // namespace amaranthlatch::directory::testing
