// The difference between two configurations, as sent to nodes that have the earlier one.

#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "amaranthlatch/directory/mesh_configuration.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::directory::details {

struct ConfigurationChange {
  // Version to which the change applies; 0 if the change contains the whole configuration.
  document::Version base = 0;
  document::Version version = 0;
  // Hosts and path prefixes of removed routes.
  std::vector<std::pair<std::string, std::string>> removed;
  // Added and replaced routes.
  HostRoutes routes;
  // All services.
  std::vector<MeshService> services;
  // Whether the version has a table of workspaces.
  bool has_workspaces = false;
  // Names of removed workspaces.
  std::vector<std::string> removed_workspaces;
  // Added and replaced workspaces.
  Workspaces workspaces;
};

// `base` may be null.
ConfigurationChange Difference(const MeshConfiguration::Pointer& base,
                               const MeshConfiguration& next);

// Fails with kConfigurationMalformed if `base` is not the base of the change or the result is
// invalid.
utils::Result<MeshConfiguration::Pointer> Apply(const MeshConfiguration::Pointer& base,
                                                const ConfigurationChange& change,
                                                const ServiceDefaults& defaults);

// Compressed CBOR.
std::string EncodeChange(const ConfigurationChange& change);
// Fails with kMessageMalformed or kMessageTooLarge.
utils::Result<ConfigurationChange> DecodeChange(std::string_view bytes);

}  // namespace amaranthlatch::directory::details
