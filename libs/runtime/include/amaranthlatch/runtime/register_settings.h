// The settings of a node in register mode (docs/platform.md): strict JSON, one table of keys.

#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "amaranthlatch/runtime/settings.h"
#include "amaranthlatch/utils/result.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime {

// Whether the whole mesh starts for the first time, or this node joins one that runs.
enum class MeshStart : std::uint8_t { kRunning = 0, kNew = 1 };

struct RegisterSettings {
  // Addresses are "ip:port".
  std::string node_address;
  std::string data_address;
  std::string ready_address;
  std::string control_address;
  std::string admin_address;
  std::string register_address;
  std::string region;
  std::string zone;
  // The backend server beside this node: announcements of any other are refused.
  std::string backend_service;
  std::string backend_address;
  std::string secret;
  LogLevel log_level = LogLevel::kInfo;
  MeshStart mesh_start = MeshStart::kRunning;
  // Backend arrivals beyond the first of each request: a share of the requests and, over all nodes
  // and for each budget window, this many more.
  double retry_ratio = 0.0;
  double retry_slack = 0.0;
  // Quotas of workspaces hold for every window of this length, with this share and that many calls
  // beyond them. Without a window no quota is enforced.
  utils::Duration quota_window{};
  double quota_overshoot = 0.0;
  double quota_slack = 0.0;
  // Share of the requests of a service that a new version may get before it has proved good, and
  // that many more. Without a share the node takes part in no rollout.
  double rollout_exposure_share = 0.0;
  double rollout_exposure_slack = 0.0;
  // Time within which a version that was found bad gets no more requests.
  utils::Duration rollout_stop_time{};
  // Time from the start of a drain to the end of the process, at the latest.
  utils::Duration shutdown_limit{};
  std::size_t max_connections = 0;
  std::size_t max_header_bytes = 0;
  std::size_t max_body_bytes = 0;
  // Of the process; never more than the machine has.
  std::uint64_t memory_limit_bytes = 0;
  // Of the instance's link in each direction; 0 if unknown.
  double link_rate_bits_per_second = 0.0;
  // Cores, or parts of one, that the instance has.
  double processor_share = 1.0;
  // Descriptors of the process, also those that the platform uses for files; 0 if unknown.
  std::size_t max_descriptors = 0;
  // What leaving the zone or the region costs a call, and each kilobyte of it, expressed as time.
  utils::Duration crossing_zone{};
  utils::Duration crossing_region{};
  utils::Duration crossing_zone_per_kb{};
  utils::Duration crossing_region_per_kb{};

  bool operator==(const RegisterSettings&) const = default;
};

std::span<const SettingSpec> AllRegisterSettings();

// Fails with a code of 6001..6005 and a pointer.
utils::Result<RegisterSettings> ParseRegisterSettings(std::string_view text);
// `overrides`: JSON values by key, which replace those of the file.
utils::Result<RegisterSettings> ReadRegisterSettingsFile(
    const std::string& path, const std::map<std::string, std::string>& overrides = {});

}  // namespace amaranthlatch::runtime
