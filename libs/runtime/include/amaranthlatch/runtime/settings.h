// The settings of a node (docs/settings.md): strict JSON, one table of keys.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthlatch/distribution/options.h"
#include "amaranthlatch/utils/result.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime {

enum class LogLevel : std::uint8_t { kError, kWarn, kInfo, kDebug };

struct Settings {
  // Addresses are "ip:port".
  std::string node_address;
  std::string data_address;
  std::string admin_address;
  std::string region;
  std::string zone;
  std::vector<std::string> seeds;
  std::string log_address;
  std::string log_region;
  // From `secret` or from the file named by `secret_file`.
  std::string secret;
  distribution::Profile profile = distribution::Profile::kNone;
  distribution::SpreadKind spread = distribution::SpreadKind::kTree;
  LogLevel log_level = LogLevel::kInfo;
  utils::Duration probe_interval{};
  utils::Duration suspect_timeout{};
  utils::Duration reader_takeover{};
  utils::Duration region_sync{};
  // Unset where the profile decides.
  std::optional<utils::Duration> anti_entropy;
  utils::Duration pause_threshold{};
  utils::Duration join_jitter{};
  utils::Duration silent{};
  std::size_t max_connections = 0;
  std::size_t max_header_bytes = 0;
  std::size_t max_body_bytes = 0;

  bool operator==(const Settings&) const = default;
};

// kTime is a text of a number and its unit, `ms` or `s`; kNumber any number.
enum class SettingType : std::uint8_t {
  kAddress,
  kAddresses,
  kName,
  kText,
  kChoice,
  kInteger,
  kTime,
  kNumber
};

// One row of the table; docs/settings.md repeats it and a test compares the two.
struct SettingSpec {
  std::string_view key;
  SettingType type = SettingType::kText;
  // Of integers: "ms", "bytes" or "connections"; of others a word for the kind of value.
  std::string_view unit;
  // JSON text of the default; empty where the setting is required or has none.
  std::string_view default_value;
  bool required = false;
  // Limits of numbers, of times in ms, of the length of texts and of the count of lists.
  std::int64_t min = 0;
  std::int64_t max = 0;
  // Permitted values of a choice.
  std::vector<std::string_view> choices;
};

std::span<const SettingSpec> AllSettings();

// Reads the secret file, if one is named. Fails with a code of 6001..6005 and a pointer.
utils::Result<Settings> ParseSettings(std::string_view text);
utils::Result<Settings> ReadSettingsFile(const std::string& path);

}  // namespace amaranthlatch::runtime
