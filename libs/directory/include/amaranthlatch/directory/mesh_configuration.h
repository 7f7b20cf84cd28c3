// One version of the configuration of a whole mesh: routes of all hosts and all services.

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

#include "amaranthlatch/document/route_table.h"
#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::directory {

struct HostRoute {
  std::string host;
  // `path_prefix` begins and ends with a slash and is compared literally.
  document::Route route;

  bool operator==(const HostRoute&) const = default;
};

struct MeshService {
  std::string name;
  // Path of a GET request that asks a backend server for its health.
  std::string health_path;
  // Connections that one backend server takes.
  std::uint32_t connections = 0;

  bool operator==(const MeshService&) const = default;
};

// What the mesh applies to all services of a configuration that does not state it.
struct ServiceDefaults {
  document::Protection protection;

  bool operator==(const ServiceDefaults&) const = default;
};

class MeshConfiguration final : public document::RouteTable {
 public:
  using Pointer = std::shared_ptr<const MeshConfiguration>;

  // Fails with kConfigurationMalformed for a route without a target of weight above 0, for a target
  // that names no service of the list, and for two routes of one host and prefix.
  static utils::Result<Pointer> Create(document::Version version, std::vector<HostRoute> routes,
                                       std::vector<MeshService> services,
                                       const ServiceDefaults& defaults);

  document::Version GetVersion() const { return this->version; }
  std::size_t RouteCount() const { return this->routes.size(); }
  utils::Duration LongestDeadline() const;
  // Null for a service that the configuration does not name.
  const MeshService* FindService(std::string_view name) const;

  // The route with the longest prefix that begins the path; the method does not matter.
  std::optional<document::RouteMatch> Match(std::string_view host, std::string_view path,
                                            std::string_view method) const override;
  std::shared_ptr<const document::ServiceDocument> Find(std::string_view service) const override;

  bool operator==(const MeshConfiguration& other) const;

 private:
  struct TextHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming): std name.
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };
  using PrefixIndex =
      std::unordered_map<std::string, const document::Route*, TextHash, std::equal_to<>>;

  MeshConfiguration(document::Version version, std::vector<HostRoute> routes,
                    std::vector<MeshService> services);

  utils::Result<void> IndexRoutes();
  void MakeDocuments(const ServiceDefaults& defaults);

  const document::Version version;
  const std::vector<HostRoute> routes;
  const std::vector<MeshService> services;
  // The pointers lead into `routes`.
  std::unordered_map<std::string, PrefixIndex, TextHash, std::equal_to<>> hosts;
  std::map<std::string, std::shared_ptr<const document::ServiceDocument>, std::less<>> documents;
  // Keeps this object alive for as long as a match into it is held; set by Create.
  std::weak_ptr<const MeshConfiguration> self;
};

}  // namespace amaranthlatch::directory
