// The table of settings of register mode.

#include "amaranthlatch/runtime/register_settings.h"

#include <nlohmann/json.hpp>
#include <vector>

#include "amaranthlatch/document/json_guard.h"
#include "settings/settings_reader.h"

namespace amaranthlatch::runtime {

namespace {

constexpr std::int64_t kMaxNameLength = 63;
constexpr std::int64_t kMaxSlack = 1'000'000;
// The base of the memory plan and room for calls.
constexpr std::int64_t kMinMemoryBytes = 100'000'000;
constexpr std::int64_t kMaxMemoryBytes = 1'000'000'000'000;
constexpr std::int64_t kMinRolloutStopMs = 1000;
constexpr std::int64_t kMaxLinkMbps = 1'000'000;
constexpr double kBitsPerMegabit = 1e6;
constexpr std::int64_t kMaxProcessors = 1024;
constexpr std::int64_t kMaxDescriptors = 1'000'000;
constexpr std::int64_t kMinShutdownMs = 1000;
constexpr std::int64_t kMaxShutdownMs = 600'000;
constexpr std::int64_t kMaxCrossingMs = 60'000;
constexpr double kMicrosecondsPerMillisecond = 1'000.0;

SettingSpec Address(std::string_view key) {
  return {key, SettingType::kAddress, "ip:port", "", true, 0, 0, {}};
}

SettingSpec Name(std::string_view key) {
  return {key, SettingType::kName, "name", "", true, 1, kMaxNameLength, {}};
}

SettingSpec Crossing(std::string_view key, std::string_view fallback) {
  return {key, SettingType::kNumber, "ms", fallback, false, 0, kMaxCrossingMs, {}};
}

std::vector<SettingSpec> MakeTable() {
  return {
      Address("node_address"),
      Address("data_address"),
      Address("ready_address"),
      Address("control_address"),
      Address("admin_address"),
      Address("register_address"),
      Name("region"),
      Name("zone"),
      Name("backend_service"),
      Address("backend_address"),
      {"secret", SettingType::kText, "text", "", true, 16, 1024, {}},
      {"log_level",
       SettingType::kChoice,
       "choice",
       R"("info")",
       false,
       0,
       0,
       {"error", "warn", "info", "debug"}},
      {"mesh_start",
       SettingType::kChoice,
       "choice",
       R"("running")",
       false,
       0,
       0,
       {"running", "new"}},
      {"retry_ratio", SettingType::kNumber, "ratio", "0.1", false, 0, 1, {}},
      {"retry_slack", SettingType::kNumber, "calls", "20", false, 0, kMaxSlack, {}},
      {"quota_window", SettingType::kTime, "time", R"("0s")", false, 0, kMaxShutdownMs, {}},
      {"quota_overshoot", SettingType::kNumber, "ratio", "0.1", false, 0, 1, {}},
      {"quota_slack", SettingType::kNumber, "calls", "0", false, 0, kMaxSlack, {}},
      {"rollout_exposure_share", SettingType::kNumber, "ratio", "0", false, 0, 1, {}},
      {"rollout_exposure_slack", SettingType::kNumber, "calls", "0", false, 0, kMaxSlack, {}},
      {"rollout_stop_time",
       SettingType::kTime,
       "time",
       R"("5s")",
       false,
       kMinRolloutStopMs,
       kMaxShutdownMs,
       {}},
      {"shutdown_limit",
       SettingType::kTime,
       "time",
       R"("6s")",
       false,
       kMinShutdownMs,
       kMaxShutdownMs,
       {}},
      {"max_connections", SettingType::kInteger, "connections", "1024", false, 1, 100'000, {}},
      {"max_header_bytes", SettingType::kInteger, "bytes", "65536", false, 1024, 1'048'576, {}},
      {"max_body_bytes", SettingType::kInteger, "bytes", "1048576", false, 1024, 67'108'864, {}},
      {"memory_limit_bytes",
       SettingType::kInteger,
       "bytes",
       "268435456",
       false,
       kMinMemoryBytes,
       kMaxMemoryBytes,
       {}},
      {"link_rate_mbps", SettingType::kNumber, "Mbit/s", "0", false, 0, kMaxLinkMbps, {}},
      {"processor_share", SettingType::kNumber, "cores", "1", false, 0, kMaxProcessors, {}},
      {"max_descriptors", SettingType::kInteger, "descriptors", "0", false, 0, kMaxDescriptors, {}},
      Crossing("crossing_zone_ms", "30"),
      Crossing("crossing_region_ms", "150"),
      Crossing("crossing_zone_ms_per_kb", "0"),
      Crossing("crossing_region_ms_per_kb", "0"),
  };
}

}  // namespace

std::span<const SettingSpec> AllRegisterSettings() {
  static const std::vector<SettingSpec> table = MakeTable();
  return table;
}

utils::Result<RegisterSettings> ParseRegisterSettings(std::string_view text) {
  auto object = details::ReadSettingsObject(text, AllRegisterSettings());
  if (!object) {
    return tl::unexpected(object.error());
  }
  const auto value = [&object](const char* key) { return (*object)[key].get<std::string>(); };
  RegisterSettings settings;
  settings.node_address = value("node_address");
  settings.data_address = value("data_address");
  settings.ready_address = value("ready_address");
  settings.control_address = value("control_address");
  settings.admin_address = value("admin_address");
  settings.register_address = value("register_address");
  settings.region = value("region");
  settings.zone = value("zone");
  settings.backend_service = value("backend_service");
  settings.backend_address = value("backend_address");
  settings.secret = value("secret");
  settings.log_level = details::ChoiceOf<LogLevel>(*object, AllRegisterSettings(), "log_level");
  settings.mesh_start = details::ChoiceOf<MeshStart>(*object, AllRegisterSettings(), "mesh_start");
  settings.retry_ratio = (*object)["retry_ratio"].get<double>();
  settings.retry_slack = (*object)["retry_slack"].get<double>();
  settings.quota_window = *details::ParseTime(value("quota_window"));
  settings.quota_overshoot = (*object)["quota_overshoot"].get<double>();
  settings.quota_slack = (*object)["quota_slack"].get<double>();
  settings.rollout_exposure_share = (*object)["rollout_exposure_share"].get<double>();
  settings.rollout_exposure_slack = (*object)["rollout_exposure_slack"].get<double>();
  settings.rollout_stop_time = *details::ParseTime(value("rollout_stop_time"));
  settings.shutdown_limit = *details::ParseTime(value("shutdown_limit"));
  settings.max_connections = (*object)["max_connections"].get<std::size_t>();
  settings.max_header_bytes = (*object)["max_header_bytes"].get<std::size_t>();
  settings.max_body_bytes = (*object)["max_body_bytes"].get<std::size_t>();
  settings.memory_limit_bytes = (*object)["memory_limit_bytes"].get<std::uint64_t>();
  settings.link_rate_bits_per_second = (*object)["link_rate_mbps"].get<double>() * kBitsPerMegabit;
  settings.processor_share = (*object)["processor_share"].get<double>();
  settings.max_descriptors = (*object)["max_descriptors"].get<std::size_t>();
  const auto milliseconds = [&object](const char* key) {
    return utils::Duration(static_cast<utils::Duration::rep>((*object)[key].get<double>() *
                                                             kMicrosecondsPerMillisecond));
  };
  settings.crossing_zone = milliseconds("crossing_zone_ms");
  settings.crossing_region = milliseconds("crossing_region_ms");
  settings.crossing_zone_per_kb = milliseconds("crossing_zone_ms_per_kb");
  settings.crossing_region_per_kb = milliseconds("crossing_region_ms_per_kb");
  return settings;
}

utils::Result<RegisterSettings> ReadRegisterSettingsFile(
    const std::string& path, const std::map<std::string, std::string>& overrides) {
  const auto text = details::ReadSettingsText(path);
  if (!text) {
    return tl::unexpected(text.error());
  }
  auto object = document::ParseJsonText(*text);
  if (!object || !object->is_object()) {
    return ParseRegisterSettings(*text);
  }
  for (const auto& [key, value] : overrides) {
    (*object)[key] = nlohmann::json::parse(value, nullptr, false);
  }
  return ParseRegisterSettings(object->dump());
}

}  // namespace amaranthlatch::runtime
