// Canonical serialization of service documents.

#include "amaranthlatch/document/document_limits.h"
#include "amaranthlatch/document/document_parser.h"

namespace amaranthlatch::document {

namespace {

using nlohmann::json;

json VersionsToJson(const std::map<std::string, VersionSelector>& versions) {
  json result = json::object();
  for (const auto& [name, selector] : versions) {
    result[name] = {{"labels", selector.labels}};
  }
  return result;
}

json SplitToJson(const std::vector<SplitTarget>& split) {
  json result = json::array();
  for (const SplitTarget& target : split) {
    result.push_back(
        {{"service", target.service}, {"version", target.version}, {"weight", target.weight}});
  }
  return result;
}

json RouteToJson(const Route& route) {
  return {{"name", route.name},
          {"path_prefix", route.path_prefix},
          {"methods", route.methods},
          {"split", SplitToJson(route.split)},
          {"idempotent", route.idempotent},
          {"permit_required", route.permit_required},
          {"priority", ToString(route.priority)},
          {"deadline_ms", utils::ToMilliseconds(route.deadline)},
          {"max_request_bytes", route.max_request_bytes},
          {"max_response_bytes", route.max_response_bytes}};
}

json ProtectionToJson(const Protection& protection) {
  return {{"slots", protection.slots},
          {"connections", protection.connections},
          {"queue_length", protection.queue_length},
          {"queue_ms", utils::ToMilliseconds(protection.queue_time)},
          {"retry_budget_percent", protection.retry_budget_percent},
          {"max_attempts", protection.max_attempts},
          {"slow_start_ms", utils::ToMilliseconds(protection.slow_start)}};
}

}  // namespace

json ToJson(const ServiceDocument& document) {
  json routes = json::array();
  for (const Route& route : document.routes) {
    routes.push_back(RouteToJson(route));
  }
  return {{"format", kDocumentFormat},
          {"service", document.service},
          {"owner", document.owner},
          {"hosts", document.hosts},
          {"versions", VersionsToJson(document.versions)},
          {"routes", std::move(routes)},
          {"protection", ProtectionToJson(document.protection)},
          {"locality",
           {{"prefer", ToString(document.locality.prefer)},
            {"spill_load_percent", document.locality.spill_load_percent}}}};
}

}  // namespace amaranthlatch::document
