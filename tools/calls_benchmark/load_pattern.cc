// Reads load patterns.

#include "load_pattern.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

namespace amaranthlatch::calls::benchmark {

namespace {
using nlohmann::json;
using utils::ErrorCode;
using utils::Fail;
}  // namespace

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServicePattern, servers_per_zone, slots, speeds,
                                                link_mbit, cold_s, cold_factor)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Wave, swing, period_s, phases)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Burst, factor, from_s, until_s)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(NestedCall, type, share)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallType, service, priority, rate_per_zone,
                                                target_ms, deadline_ms, work_ms, work_spread,
                                                request_bytes, response_bytes, retries, idempotent,
                                                wave, bursts, nested)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Fault, service, share, from_s, until_s, slowdown,
                                                refuse, kill)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CrossingPrice, zone_ms, region_ms, zone_ms_per_kb,
                                                region_ms_per_kb)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LoadPattern, description, seconds, zone_regions,
                                                within_zone_ms, between_zones_ms,
                                                between_regions_ms, retry_ratio, retry_slack,
                                                crossing, services, call_types, faults)

namespace {
// Returns the pointer to a value of `input` that the parsed pattern does not have; empty if none.
std::string UnknownKey(const json& input, const json& parsed) {
  const json flat = input.flatten();
  for (const auto& [pointer, value] : flat.items()) {
    if (!parsed.contains(json::json_pointer(pointer))) {
      return pointer;
    }
  }
  return {};
}

std::string Problem(const LoadPattern& pattern) {
  for (const auto& [name, service] : pattern.services) {
    if (service.servers_per_zone < 1 || service.slots < 1 || service.speeds.empty() ||
        *std::min_element(service.speeds.begin(), service.speeds.end()) <= 0.0) {
      return "service " + name + " needs servers, slots and positive speeds";
    }
  }
  for (const auto& [name, type] : pattern.call_types) {
    const bool nested_known = std::all_of(
        type.nested.begin(), type.nested.end(),
        [&pattern](const NestedCall& nested) { return pattern.call_types.contains(nested.type); });
    if (!pattern.services.contains(type.service) || !nested_known || type.wave.phases.empty() ||
        type.wave.period_s <= 0.0) {
      return "call type " + name + " needs a known service, nested types and a wave with phases";
    }
  }
  for (const Fault& fault : pattern.faults) {
    if (!pattern.services.contains(fault.service)) {
      return "fault of an unknown service " + fault.service;
    }
  }
  return pattern.zone_regions.empty() || pattern.seconds <= 0.0 ? "no zones or no time" : "";
}
}  // namespace

utils::Result<LoadPattern> ReadLoadPattern(const std::string& path) {
  std::ifstream file(path);
  const json input = json::parse(file, nullptr, false);
  if (!input.is_object()) {
    return Fail(ErrorCode::kSettingsUnreadable, path + " is not a file with a JSON object");
  }
  LoadPattern pattern;
  try {
    pattern = input.get<LoadPattern>();
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kSettingsWrongType, path + ": " + error.what());
  }
  if (const std::string pointer = UnknownKey(input, json(pattern)); !pointer.empty()) {
    return Fail(ErrorCode::kSettingsUnknownKey, path + ": unknown key", pointer);
  }
  if (const std::string problem = Problem(pattern); !problem.empty()) {
    return Fail(ErrorCode::kSettingsOutOfRange, path + ": " + problem);
  }
  return pattern;
}

}  // namespace amaranthlatch::calls::benchmark
