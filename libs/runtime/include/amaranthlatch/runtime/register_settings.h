// The settings of a node in register mode (docs/platform.md): strict JSON, one table of keys.

#pragma once

#include <cstddef>
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
  // Time from the start of a drain to the end of the process, at the latest.
  utils::Duration shutdown_limit{};
  std::size_t max_connections = 0;
  std::size_t max_header_bytes = 0;
  std::size_t max_body_bytes = 0;
  // Of the process; never more than the machine has.
  std::uint64_t memory_limit_bytes = 0;
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
utils::Result<RegisterSettings> ReadRegisterSettingsFile(const std::string& path);

}  // namespace amaranthlatch::runtime
