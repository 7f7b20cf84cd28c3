// Validation, indexing and route lookup of a mesh configuration.

#include "amaranthlatch/directory/mesh_configuration.h"

#include <algorithm>
#include <utility>

#include "amaranthlatch/document/route_matcher.h"

namespace amaranthlatch::directory {

namespace {

using utils::ErrorCode;
using utils::Fail;

bool IsValidPathPrefix(std::string_view text) {
  return text.starts_with('/') && text.ends_with('/');
}

}  // namespace

HostRoutes ShareRoutes(std::vector<HostRoute> routes) {
  HostRoutes shared;
  shared.reserve(routes.size());
  for (HostRoute& route : routes) {
    shared.push_back(std::make_shared<const HostRoute>(std::move(route)));
  }
  return shared;
}

utils::Result<MeshConfiguration::Pointer> MeshConfiguration::Create(
    document::Version version, HostRoutes routes, std::vector<MeshService> services,
    const ServiceDefaults& defaults, WorkspaceTable::Pointer workspaces) {
  const std::shared_ptr<MeshConfiguration> configuration(new MeshConfiguration(
      version, std::move(routes), std::move(services), defaults, std::move(workspaces)));
  configuration->BuildServiceDocuments();
  if (auto indexed = configuration->IndexRoutes(); !indexed) {
    return tl::unexpected(indexed.error());
  }
  configuration->weak_self = configuration;
  return Pointer(configuration);
}

MeshConfiguration::MeshConfiguration(document::Version version, HostRoutes routes,
                                     std::vector<MeshService> services,
                                     const ServiceDefaults& defaults,
                                     WorkspaceTable::Pointer workspaces)
    : version(version),
      routes(std::move(routes)),
      services(std::move(services)),
      defaults(defaults),
      workspaces(std::move(workspaces)),
      has_highest_workspace_priority(this->HasWorkspaces() &&
                                     this->workspaces->HasHighestPriority()) {}

void MeshConfiguration::BuildServiceDocuments() {
  for (const MeshService& service : this->services) {
    document::ServiceDocument document;
    document.service = service.name;
    document.versions[""] = {};
    document.protection = this->defaults.protection;
    document.protection.connections = service.connections;
    this->documents_by_service[service.name] =
        std::make_shared<const document::ServiceDocument>(std::move(document));
  }
}

utils::Result<void> MeshConfiguration::IndexRoutes() {
  // Most routes have one of a few hosts, so that each host is normalized once.
  std::unordered_map<std::string_view, RoutesByPrefix*> indexes;
  for (std::size_t i = 0; i < this->routes.size(); ++i) {
    const HostRoutePointer& host_route = this->routes[i];
    const document::Route& route = host_route->route;
    const auto pointer = [i] { return "/routes/" + std::to_string(i); };
    if (auto checked = this->CheckRoute(route); !checked) {
      checked.error().pointer = pointer();
      return checked;
    }
    RoutesByPrefix*& index = indexes[host_route->host];
    if (index == nullptr) {
      index = &this->routes_by_host[document::NormalizeHost(host_route->host)];
    }
    if (!index->emplace(route.path_prefix, &host_route).second) {
      return Fail(ErrorCode::kConfigurationMalformed,
                  "route " + route.name + " has the same host and path prefix as another route",
                  pointer());
    }
    if (this->HasWorkspaces() && !route.is_public &&
        route.priority == document::Priority::kInternal) {
      this->has_highest_workspace_priority = true;
    }
  }
  return {};
}

utils::Result<void> MeshConfiguration::CheckRoute(const document::Route& route) const {
  if (!IsValidPathPrefix(route.path_prefix)) {
    return Fail(ErrorCode::kConfigurationMalformed,
                "route " + route.name + " needs a path prefix that starts and ends with a slash");
  }
  const bool has_positive_weight = std::any_of(
      route.split.begin(), route.split.end(), [](const auto& target) { return target.weight > 0; });
  const bool has_known_targets = std::all_of(
      route.split.begin(), route.split.end(),
      [this](const auto& target) { return this->documents_by_service.contains(target.service); });
  if (!has_positive_weight || !has_known_targets) {
    return Fail(
        ErrorCode::kConfigurationMalformed,
        "route " + route.name +
            " needs a target with a weight above 0 and only targets that are known services");
  }
  return {};
}

HostRoutePointer MeshConfiguration::FindRoute(std::string_view host,
                                              std::string_view path_prefix) const {
  const auto index = this->routes_by_host.find(document::NormalizeHost(host));
  if (index == this->routes_by_host.end()) {
    return nullptr;
  }
  const auto found = index->second.find(path_prefix);
  return found == index->second.end() ? nullptr : *found->second;
}

bool MeshConfiguration::HasHost(std::string_view host) const {
  return this->routes_by_host.contains(document::NormalizeHost(host));
}

utils::Duration MeshConfiguration::LongestDeadline() const {
  utils::Duration longest{};
  for (const HostRoutePointer& host_route : this->routes) {
    longest = std::max(longest, host_route->route.deadline);
  }
  return longest;
}

const MeshService* MeshConfiguration::FindService(std::string_view name) const {
  const auto found = std::find_if(this->services.begin(), this->services.end(),
                                  [name](const auto& service) { return service.name == name; });
  return found == this->services.end() ? nullptr : &*found;
}

std::shared_ptr<const Workspace> MeshConfiguration::FindWorkspaceByKey(std::string_view key) const {
  return this->HasWorkspaces() ? this->workspaces->FindByKey(key) : nullptr;
}

std::shared_ptr<const Workspace> MeshConfiguration::FindWorkspace(std::string_view name) const {
  return this->HasWorkspaces() ? this->workspaces->FindByName(name) : nullptr;
}

std::optional<document::RouteMatch> MeshConfiguration::Match(std::string_view host,
                                                             std::string_view path,
                                                             std::string_view /*method*/) const {
  const auto index = this->routes_by_host.find(document::NormalizeHost(host));
  if (index == this->routes_by_host.end()) {
    return std::nullopt;
  }
  path = path.substr(0, path.find('?'));
  for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = path.rfind('/', slash - 1)) {
    const auto found = index->second.find(path.substr(0, slash + 1));
    if (found != index->second.end()) {
      const document::Route* const route = &(*found->second)->route;
      const auto& document = this->documents_by_service.find(route->split.front().service)->second;
      // The aliasing pointer owns the configuration, which keeps the route alive as well as the
      // document.
      return document::RouteMatch{
          std::shared_ptr<const document::ServiceDocument>(this->weak_self.lock(), document.get()),
          this->version, route};
    }
    if (slash == 0) {
      break;
    }
  }
  return std::nullopt;
}

std::shared_ptr<const document::ServiceDocument> MeshConfiguration::Find(
    std::string_view service) const {
  const auto found = this->documents_by_service.find(service);
  return found == this->documents_by_service.end() ? nullptr : found->second;
}

bool MeshConfiguration::operator==(const MeshConfiguration& other) const {
  const bool same_workspaces =
      this->workspaces == other.workspaces ||
      (this->HasWorkspaces() && other.HasWorkspaces() && *this->workspaces == *other.workspaces);
  return same_workspaces && this->version == other.version && this->services == other.services &&
         std::equal(this->routes.begin(), this->routes.end(), other.routes.begin(),
                    other.routes.end(),
                    [](const auto& left, const auto& right) { return *left == *right; });
}

}  // namespace amaranthlatch::directory
