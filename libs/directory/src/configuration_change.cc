// Differences of configurations, their application and their encoding.

#include "configuration_change.h"

#include <zstd.h>

#include <map>
#include <utility>

#include "amaranthlatch/utils/cbor.h"
#include "workspace_change.h"

namespace amaranthlatch::directory::details {

namespace {

using utils::CborReader;
using utils::CborWriter;
using utils::ErrorCode;

constexpr int kCompressionLevel = 1;
constexpr std::size_t kMaxDecodedBytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxRoutes = 1'000'000;
constexpr std::size_t kMaxListItems = 10'000;
constexpr std::uint64_t kMaxTimeUs = 1ULL << 52U;

constexpr std::size_t kChangeFields = 5 + kWorkspaceChangeFields;
constexpr std::size_t kRouteFields = 15;
constexpr std::size_t kServiceFields = 3;

using RouteKey = std::pair<std::string_view, std::string_view>;

RouteKey KeyOf(const HostRoute& route) { return {route.host, route.route.path_prefix}; }

void Write(CborWriter& out, const HostRoute& host_route) {
  const document::Route& route = host_route.route;
  out.Array(kRouteFields).Text(host_route.host).Text(route.name).Text(route.path_prefix);
  out.Array(route.methods.size());
  for (const std::string& method : route.methods) {
    out.Text(method);
  }
  out.Array(3 * route.split.size());
  for (const document::SplitTarget& target : route.split) {
    out.Text(target.service).Text(target.version).Number(target.weight);
  }
  out.Flag(route.idempotent).Flag(route.permit_required).Flag(route.strict_split);
  out.Flag(route.is_public);
  out.Number(route.max_attempts).Number(static_cast<std::uint64_t>(route.priority));
  out.Number(static_cast<std::uint64_t>(route.deadline.count()));
  out.Number(static_cast<std::uint64_t>(route.target_latency.count()));
  out.Number(route.max_request_bytes).Number(route.max_response_bytes);
}

std::string ReadName(CborReader& in) { return std::string(in.Text(kMaxNameBytes)); }

utils::Duration ReadTime(CborReader& in) {
  return utils::Duration(static_cast<std::int64_t>(in.Number(kMaxTimeUs)));
}

HostRoute ReadRoute(CborReader& in) {
  HostRoute host_route;
  document::Route& route = host_route.route;
  in.ExpectArray(kRouteFields);
  host_route.host = ReadName(in);
  route.name = ReadName(in);
  route.path_prefix = ReadName(in);
  const std::size_t methods = in.ArraySize(kMaxListItems);
  for (std::size_t i = 0; i < methods && !in.Error(); ++i) {
    route.methods.push_back(ReadName(in));
  }
  const std::size_t target_fields = in.ArraySize(kMaxListItems);
  for (std::size_t i = 0; i < target_fields / 3 && !in.Error(); ++i) {
    document::SplitTarget target;
    target.service = ReadName(in);
    target.version = ReadName(in);
    target.weight = in.Number32();
    route.split.push_back(std::move(target));
  }
  route.idempotent = in.Flag();
  route.permit_required = in.Flag();
  route.strict_split = in.Flag();
  route.is_public = in.Flag();
  route.max_attempts = in.Number32();
  route.priority = static_cast<document::Priority>(in.Number(document::kPriorityCount - 1));
  route.deadline = ReadTime(in);
  route.target_latency = ReadTime(in);
  route.max_request_bytes = in.Number();
  route.max_response_bytes = in.Number();
  return host_route;
}

MeshService ReadService(CborReader& in) {
  MeshService service;
  in.ExpectArray(kServiceFields);
  service.name = ReadName(in);
  service.health_path = ReadName(in);
  service.connections = in.Number32();
  return service;
}

utils::Result<std::string> Decompress(std::string_view bytes) {
  const std::uint64_t size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
    return utils::Fail(ErrorCode::kMessageMalformed, "configuration change is not compressed data");
  }
  if (size > kMaxDecodedBytes) {
    return utils::Fail(ErrorCode::kMessageTooLarge, "configuration change is too large");
  }
  std::string decoded(static_cast<std::size_t>(size), '\0');
  const std::size_t written =
      ZSTD_decompress(decoded.data(), decoded.size(), bytes.data(), bytes.size());
  if (ZSTD_isError(written) != 0 || written != decoded.size()) {
    return utils::Fail(ErrorCode::kMessageMalformed, "configuration change is damaged");
  }
  return decoded;
}

}  // namespace

ConfigurationChange Difference(const MeshConfiguration::Pointer& base,
                               const MeshConfiguration& next) {
  ConfigurationChange change;
  change.version = next.GetVersion();
  change.services = next.Services();
  if (base == nullptr) {
    change.routes = next.Routes();
    AddWorkspaceDifference(nullptr, next.GetWorkspaces(), change);
    return change;
  }
  AddWorkspaceDifference(base->GetWorkspaces(), next.GetWorkspaces(), change);
  change.base = base->GetVersion();
  for (const HostRoutePointer& route : next.Routes()) {
    const HostRoutePointer earlier = base->FindRoute(route->host, route->route.path_prefix);
    if (earlier != route && (earlier == nullptr || *earlier != *route)) {
      change.routes.push_back(route);
    }
  }
  for (const HostRoutePointer& route : base->Routes()) {
    const HostRoutePointer later = next.FindRoute(route->host, route->route.path_prefix);
    // A route under another spelling of its host replaces this one.
    if (later == nullptr || later->host != route->host) {
      change.removed.emplace_back(route->host, route->route.path_prefix);
    }
  }
  return change;
}

utils::Result<MeshConfiguration::Pointer> Apply(const MeshConfiguration::Pointer& base,
                                                const ConfigurationChange& change,
                                                const ServiceDefaults& defaults) {
  if (change.base != 0 && (base == nullptr || base->GetVersion() != change.base)) {
    return utils::Fail(ErrorCode::kConfigurationMalformed,
                       "change of a configuration applies to another version");
  }
  auto workspaces = ApplyWorkspaceChange(base == nullptr ? nullptr : base->GetWorkspaces(), change);
  if (!workspaces) {
    return tl::unexpected(workspaces.error());
  }
  if (change.base == 0) {
    return MeshConfiguration::Create(change.version, change.routes, change.services, defaults,
                                     std::move(*workspaces));
  }
  // Null for a removed route.
  std::map<RouteKey, HostRoutePointer> changes;
  for (const auto& [host, path_prefix] : change.removed) {
    changes[{host, path_prefix}] = nullptr;
  }
  for (const HostRoutePointer& route : change.routes) {
    changes[KeyOf(*route)] = route;
  }
  HostRoutes routes;
  routes.reserve(base->RouteCount() + change.routes.size());
  for (const HostRoutePointer& route : base->Routes()) {
    const auto changed = changes.find(KeyOf(*route));
    if (changed == changes.end()) {
      routes.push_back(route);
      continue;
    }
    if (changed->second != nullptr) {
      routes.push_back(changed->second);
    }
    changes.erase(changed);
  }
  for (const HostRoutePointer& route : change.routes) {
    if (changes.contains(KeyOf(*route))) {
      routes.push_back(route);
    }
  }
  return MeshConfiguration::Create(change.version, std::move(routes), change.services, defaults,
                                   std::move(*workspaces));
}

std::string EncodeChange(const ConfigurationChange& change) {
  std::string bytes;
  CborWriter out(bytes);
  out.Array(kChangeFields).Number(change.base).Number(change.version);
  out.Array(2 * change.removed.size());
  for (const auto& [host, path_prefix] : change.removed) {
    out.Text(host).Text(path_prefix);
  }
  out.Array(change.routes.size());
  for (const HostRoutePointer& route : change.routes) {
    Write(out, *route);
  }
  out.Array(change.services.size());
  for (const MeshService& service : change.services) {
    out.Array(kServiceFields).Text(service.name).Text(service.health_path);
    out.Number(service.connections);
  }
  WriteWorkspaceChange(out, change);
  std::string compressed(ZSTD_compressBound(bytes.size()), '\0');
  const std::size_t size = ZSTD_compress(compressed.data(), compressed.size(), bytes.data(),
                                         bytes.size(), kCompressionLevel);
  compressed.resize(size);
  return compressed;
}

utils::Result<ConfigurationChange> DecodeChange(std::string_view bytes) {
  const auto decoded = Decompress(bytes);
  if (!decoded) {
    return tl::unexpected(decoded.error());
  }
  CborReader in(*decoded);
  ConfigurationChange change;
  in.ExpectArray(kChangeFields);
  change.base = in.Number();
  change.version = in.Number();
  const std::size_t removed = in.ArraySize(2 * kMaxRoutes);
  for (std::size_t i = 0; i < removed / 2 && !in.Error(); ++i) {
    std::string host = ReadName(in);
    change.removed.emplace_back(std::move(host), ReadName(in));
  }
  const std::size_t routes = in.ArraySize(kMaxRoutes);
  for (std::size_t i = 0; i < routes && !in.Error(); ++i) {
    change.routes.push_back(std::make_shared<const HostRoute>(ReadRoute(in)));
  }
  const std::size_t services = in.ArraySize(kMaxListItems);
  for (std::size_t i = 0; i < services && !in.Error(); ++i) {
    change.services.push_back(ReadService(in));
  }
  ReadWorkspaceChange(in, change);
  if (in.Error() || !in.AtEnd()) {
    return utils::Fail(in.Error().value_or(ErrorCode::kMessageMalformed),
                       "configuration change has a missing, extra or invalid field");
  }
  return change;
}

}  // namespace amaranthlatch::directory::details
