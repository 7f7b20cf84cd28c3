// Reads load patterns.

#include "load_pattern.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <nlohmann/json.hpp>

namespace amaranthlatch::calls::benchmark {

namespace {
using nlohmann::json;
using utils::ErrorCode;
using utils::Fail;

constexpr std::array kPriorities = {"internal", "interactive", "normal", "batch"};
}  // namespace

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ServicePattern, servers_per_zone, slots, speeds,
                                                link_mbit, cold_s, cold_factor)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Wave, swing, period_s, phases)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Burst, factor, from_s, until_s)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallType, service, priority, rate_per_zone,
                                                target_ms, deadline_ms, work_ms, work_spread,
                                                request_bytes, response_bytes, retries, idempotent,
                                                wave, bursts, nested_type, nested_share)
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

bool IsValid(const LoadPattern& pattern) {
  const auto& types = pattern.call_types;
  const auto is_valid_service = [](const auto& entry) {
    const ServicePattern& service = entry.second;
    return service.servers_per_zone > 0 && service.slots > 0 && !service.speeds.empty() &&
           *std::min_element(service.speeds.begin(), service.speeds.end()) > 0.0;
  };
  const auto is_valid_type = [&](const auto& entry) {
    const CallType& type = entry.second;
    return pattern.services.contains(type.service) && !type.wave.phases.empty() &&
           PriorityIndex(type) < kPriorities.size() &&
           (type.nested_type.empty() || types.contains(type.nested_type));
  };
  const auto is_valid_fault = [&](const Fault& fault) {
    return pattern.services.contains(fault.service) && fault.from_s < fault.until_s;
  };
  return !pattern.zone_regions.empty() && pattern.seconds > 0.0 &&
         std::all_of(pattern.services.begin(), pattern.services.end(), is_valid_service) &&
         std::all_of(types.begin(), types.end(), is_valid_type) &&
         std::all_of(pattern.faults.begin(), pattern.faults.end(), is_valid_fault);
}
}  // namespace

std::size_t PriorityIndex(const CallType& type) {
  return static_cast<std::size_t>(std::find(kPriorities.begin(), kPriorities.end(), type.priority) -
                                  kPriorities.begin());
}

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
  if (!IsValid(pattern)) {
    return Fail(ErrorCode::kSettingsOutOfRange,
                path +
                    ": needs zones, seconds, servers, slots and speeds above 0, known services, "
                    "priorities and nested types, and faults that end after they begin");
  }
  return pattern;
}

}  // namespace amaranthlatch::calls::benchmark
