// Checks, index and lookup of a configuration.

#include "amaranthlatch/directory/mesh_configuration.h"

#include <algorithm>
#include <utility>

#include "amaranthlatch/document/route_matcher.h"

namespace amaranthlatch::directory {

namespace {

using utils::ErrorCode;
using utils::Fail;

bool IsPrefix(std::string_view text) { return text.starts_with('/') && text.ends_with('/'); }

}  // namespace

utils::Result<MeshConfiguration::Pointer> MeshConfiguration::Create(
    document::Version version, std::vector<HostRoute> routes, std::vector<MeshService> services,
    const ServiceDefaults& defaults) {
  const std::shared_ptr<MeshConfiguration> made(
      new MeshConfiguration(version, std::move(routes), std::move(services)));
  made->MakeDocuments(defaults);
  if (auto indexed = made->IndexRoutes(); !indexed) {
    return tl::unexpected(indexed.error());
  }
  made->self = made;
  return Pointer(made);
}

MeshConfiguration::MeshConfiguration(document::Version version, std::vector<HostRoute> routes,
                                     std::vector<MeshService> services)
    : version(version), routes(std::move(routes)), services(std::move(services)) {}

void MeshConfiguration::MakeDocuments(const ServiceDefaults& defaults) {
  for (const MeshService& service : this->services) {
    document::ServiceDocument document;
    document.service = service.name;
    document.versions[""] = {};
    document.protection = defaults.protection;
    document.protection.connections = service.connections;
    this->documents[service.name] =
        std::make_shared<const document::ServiceDocument>(std::move(document));
  }
}

utils::Result<void> MeshConfiguration::IndexRoutes() {
  for (const HostRoute& entry : this->routes) {
    const document::Route& route = entry.route;
    if (!IsPrefix(route.path_prefix)) {
      return Fail(ErrorCode::kConfigurationMalformed, "route " + route.name + " has a bad prefix");
    }
    const bool has_weight = std::any_of(route.split.begin(), route.split.end(),
                                        [](const auto& target) { return target.weight > 0; });
    const bool is_closed = std::all_of(
        route.split.begin(), route.split.end(),
        [this](const auto& target) { return this->documents.contains(target.service); });
    if (!has_weight || !is_closed) {
      return Fail(ErrorCode::kConfigurationMalformed,
                  "route " + route.name + " names no service of the configuration");
    }
    PrefixIndex& index = this->hosts[document::NormalizeHost(entry.host)];
    if (!index.emplace(route.path_prefix, &route).second) {
      return Fail(ErrorCode::kConfigurationMalformed,
                  "route " + route.name + " repeats the prefix of another one");
    }
  }
  return {};
}

utils::Duration MeshConfiguration::LongestDeadline() const {
  utils::Duration longest{};
  for (const HostRoute& entry : this->routes) {
    longest = std::max(longest, entry.route.deadline);
  }
  return longest;
}

const MeshService* MeshConfiguration::FindService(std::string_view name) const {
  const auto found = std::find_if(this->services.begin(), this->services.end(),
                                  [name](const auto& service) { return service.name == name; });
  return found == this->services.end() ? nullptr : &*found;
}

std::optional<document::RouteMatch> MeshConfiguration::Match(std::string_view host,
                                                             std::string_view path,
                                                             std::string_view /*method*/) const {
  const auto index = this->hosts.find(document::NormalizeHost(host));
  if (index == this->hosts.end()) {
    return std::nullopt;
  }
  path = path.substr(0, path.find('?'));
  for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = path.rfind('/', slash - 1)) {
    const auto found = index->second.find(path.substr(0, slash + 1));
    if (found != index->second.end()) {
      const document::Route* const route = found->second;
      const auto& document = this->documents.find(route->split.front().service)->second;
      // The match must keep the route alive, not only the document.
      return document::RouteMatch{
          std::shared_ptr<const document::ServiceDocument>(this->self.lock(), document.get()),
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
  const auto found = this->documents.find(service);
  return found == this->documents.end() ? nullptr : found->second;
}

bool MeshConfiguration::operator==(const MeshConfiguration& other) const {
  return this->version == other.version && this->routes == other.routes &&
         this->services == other.services;
}

}  // namespace amaranthlatch::directory
