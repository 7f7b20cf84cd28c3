// One version of the configuration of a whole mesh: the routes of all hosts, all services and all
// workspaces.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "amaranthlatch/directory/workspace.h"
#include "amaranthlatch/document/route_table.h"
#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::directory {

struct HostRoute {
  std::string host;
  // `path_prefix` starts and ends with a slash and is matched literally, without normalization.
  document::Route route;

  bool operator==(const HostRoute&) const = default;
};

// Successive configurations share the routes that did not change.
using HostRoutePointer = std::shared_ptr<const HostRoute>;
using HostRoutes = std::vector<HostRoutePointer>;

// Copies the routes into shared ones.
HostRoutes ShareRoutes(std::vector<HostRoute> routes);

struct MeshService {
  std::string name;
  // Path of the GET request that checks the health of a backend server.
  std::string health_path;
  // Maximum number of connections to one backend server.
  std::uint32_t connections = 0;

  bool operator==(const MeshService&) const = default;
};

// Settings applied to every service because a mesh configuration does not specify them.
struct ServiceDefaults {
  document::Protection protection;

  bool operator==(const ServiceDefaults&) const = default;
};

// An immutable route table with an index by host and path prefix.
class MeshConfiguration final : public document::RouteTable {
 public:
  using Pointer = std::shared_ptr<const MeshConfiguration>;

  // Fails with kConfigurationMalformed if a path prefix does not start and end with a slash, a
  // route has no target with a weight above 0, a target names a service that is not in `services`,
  // or two routes have the same host and prefix; the error's pointer is `/routes/N`. `workspaces`
  // is null for a configuration without a table of workspaces, in which calls need no keys.
  static utils::Result<Pointer> Create(document::Version version, HostRoutes routes,
                                       std::vector<MeshService> services,
                                       const ServiceDefaults& defaults,
                                       WorkspaceTable::Pointer workspaces = nullptr);

  document::Version GetVersion() const { return this->version; }
  std::size_t RouteCount() const { return this->routes.size(); }
  // Never null elements; in the order of creation.
  const HostRoutes& Routes() const { return this->routes; }
  const std::vector<MeshService>& Services() const { return this->services; }
  const ServiceDefaults& Defaults() const { return this->defaults; }
  // The route of this host and prefix; null if there is none.
  HostRoutePointer FindRoute(std::string_view host, std::string_view path_prefix) const;
  // Whether any route has this host.
  bool HasHost(std::string_view host) const;
  // The longest deadline of all routes; 0 without routes.
  utils::Duration LongestDeadline() const;
  // Null if the configuration does not contain the service.
  const MeshService* FindService(std::string_view name) const;

  // Whether the configuration has a table of workspaces, even if it is empty.
  bool HasWorkspaces() const { return this->workspaces != nullptr; }
  // Null without a table.
  const WorkspaceTable::Pointer& GetWorkspaces() const { return this->workspaces; }
  // Null if no workspace has the key or this name.
  std::shared_ptr<const Workspace> FindWorkspaceByKey(std::string_view key) const;
  std::shared_ptr<const Workspace> FindWorkspace(std::string_view name) const;
  // Whether calls of workspaces use the highest priority: one of the workspaces has it, or a route
  // that needs a key.
  bool HasHighestWorkspacePriority() const { return this->has_highest_workspace_priority; }

  // Returns the route with the longest prefix of `path`. Ignores the method.
  std::optional<document::RouteMatch> Match(std::string_view host, std::string_view path,
                                            std::string_view method) const override;
  std::shared_ptr<const document::ServiceDocument> Find(std::string_view service) const override;

  bool operator==(const MeshConfiguration& other) const;

 private:
  struct StringHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming): std name.
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };
  using RoutesByPrefix = std::unordered_map<std::string_view, const HostRoutePointer*>;

  MeshConfiguration(document::Version version, HostRoutes routes, std::vector<MeshService> services,
                    const ServiceDefaults& defaults, WorkspaceTable::Pointer workspaces);

  utils::Result<void> IndexRoutes();
  utils::Result<void> CheckRoute(const document::Route& route) const;
  void BuildServiceDocuments();

  const document::Version version;
  const HostRoutes routes;
  const std::vector<MeshService> services;
  const ServiceDefaults defaults;
  const WorkspaceTable::Pointer workspaces;
  bool has_highest_workspace_priority = false;
  // The inner keys and pointers refer to elements of `routes`.
  std::unordered_map<std::string, RoutesByPrefix, StringHash, std::equal_to<>> routes_by_host;
  std::map<std::string, std::shared_ptr<const document::ServiceDocument>, std::less<>>
      documents_by_service;
  // Lets Match return pointers that share ownership of this object; set by Create.
  std::weak_ptr<const MeshConfiguration> weak_self;
};

}  // namespace amaranthlatch::directory
