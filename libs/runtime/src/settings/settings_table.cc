// The table of settings: keys, units, defaults, limits.

#include "amaranthlatch/runtime/settings.h"

namespace amaranthlatch::runtime {

namespace {

constexpr std::int64_t kMinIntervalMs = 10;
constexpr std::int64_t kMaxIntervalMs = 600'000;
constexpr std::int64_t kMaxNameLength = 63;

SettingSpec Address(std::string_view key) {
  return {key, SettingType::kAddress, "ip:port", "", true, 0, 0, {}};
}

SettingSpec Name(std::string_view key) {
  return {key, SettingType::kName, "name", "", true, 1, kMaxNameLength, {}};
}

SettingSpec Interval(std::string_view key, std::string_view default_value) {
  return {key,   SettingType::kInteger, "ms",           default_value,
          false, kMinIntervalMs,        kMaxIntervalMs, {}};
}

SettingSpec Limit(std::string_view key, std::string_view unit, std::string_view default_value,
                  std::int64_t min, std::int64_t max) {
  return {key, SettingType::kInteger, unit, default_value, false, min, max, {}};
}

SettingSpec Choice(std::string_view key, std::string_view default_value,
                   std::vector<std::string_view> choices) {
  return {key, SettingType::kChoice, "choice", default_value, false, 0, 0, std::move(choices)};
}

std::vector<SettingSpec> MakeTable() {
  return {
      Address("node_address"),
      Address("data_address"),
      Address("admin_address"),
      Name("region"),
      Name("zone"),
      {"seeds", SettingType::kAddresses, "list of ip:port", "[]", false, 0, 64, {}},
      Address("log_address"),
      {"log_region", SettingType::kName, "name", R"("")", false, 0, kMaxNameLength, {}},
      {"secret_file", SettingType::kText, "path", "", false, 1, 4096, {}},
      {"secret", SettingType::kText, "text", "", false, 16, 1024, {}},
      Choice("profile", R"("none")", {"none", "convergence", "bytes"}),
      Choice("spread", R"("tree")", {"tree", "gossip", "poll"}),
      Choice("log_level", R"("info")", {"error", "warn", "info", "debug"}),
      Interval("probe_interval_ms", "1000"),
      Interval("suspect_timeout_ms", "3000"),
      Interval("reader_takeover_ms", "1500"),
      Interval("region_sync_ms", "2000"),
      Interval("anti_entropy_ms", ""),
      Interval("pause_threshold_ms", "1000"),
      Interval("join_jitter_ms", "500"),
      Interval("silent_ms", "2000"),
      Limit("max_connections", "connections", "1024", 1, 100'000),
      Limit("max_header_bytes", "bytes", "65536", 1024, 1'048'576),
      Limit("max_body_bytes", "bytes", "1048576", 1024, 8'388'608),
  };
}

}  // namespace

std::span<const SettingSpec> AllSettings() {
  static const std::vector<SettingSpec> table = MakeTable();
  return table;
}

}  // namespace amaranthlatch::runtime
