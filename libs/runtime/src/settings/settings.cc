// Reading of settings: each value is checked against its row of the table, then stored.

#include "amaranthlatch/runtime/settings.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "amaranthlatch/document/json_guard.h"
#include "amaranthlatch/runtime/endpoint.h"
#include "settings/settings_reader.h"

namespace amaranthlatch::runtime {

namespace {

using utils::ErrorCode;
using utils::Fail;
using Check = utils::Result<void>;

constexpr std::size_t kMaxFileBytes = 1 << 20;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kMicrosecondsPerMillisecond = 1e3;
// Keeps the conversion to microseconds from overflowing.
constexpr double kMaxTime = 1e9;

std::string PointerTo(std::string_view key) { return "/" + document::EscapePointerToken(key); }

std::string LimitsOf(const SettingSpec& spec) {
  return std::to_string(spec.min) + ".." + std::to_string(spec.max);
}

Check WrongType(const SettingSpec& spec, std::string_view expected) {
  return Fail(ErrorCode::kSettingsWrongType, std::string(expected).append(" expected"),
              PointerTo(spec.key));
}

Check OutOfRange(std::string pointer, std::string text) {
  return Fail(ErrorCode::kSettingsOutOfRange, std::move(text), std::move(pointer));
}

Check CheckAddress(const nlohmann::json& value, const std::string& pointer) {
  if (!value.is_string()) {
    return Fail(ErrorCode::kSettingsWrongType, "text expected", pointer);
  }
  const auto endpoint = ParseEndpoint(value.get_ref<const std::string&>());
  if (!endpoint) {
    return OutOfRange(pointer, endpoint.error().message);
  }
  if (endpoint->port() == 0) {
    return OutOfRange(pointer, "the port must be above 0");
  }
  return {};
}

Check CheckAddresses(const SettingSpec& spec, const nlohmann::json& value) {
  if (!value.is_array()) {
    return WrongType(spec, "list of addresses");
  }
  if (value.size() > static_cast<std::size_t>(spec.max)) {
    return OutOfRange(PointerTo(spec.key), "at most " + std::to_string(spec.max) + " entries");
  }
  for (std::size_t i = 0; i < value.size(); ++i) {
    std::string pointer = PointerTo(spec.key);
    pointer.append("/").append(std::to_string(i));
    if (auto checked = CheckAddress(value[i], pointer); !checked) {
      return checked;
    }
  }
  return {};
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_' || c == '.';
}

Check CheckText(const SettingSpec& spec, const nlohmann::json& value) {
  if (!value.is_string()) {
    return WrongType(spec, "text");
  }
  const auto& text = value.get_ref<const std::string&>();
  const auto length = static_cast<std::int64_t>(text.size());
  if (length < spec.min || length > spec.max) {
    return OutOfRange(PointerTo(spec.key), "the length must be in " + LimitsOf(spec));
  }
  if (spec.type == SettingType::kName && !std::all_of(text.begin(), text.end(), IsNameCharacter)) {
    return OutOfRange(PointerTo(spec.key), "only letters, digits, '-', '_' and '.' are allowed");
  }
  return {};
}

Check CheckChoice(const SettingSpec& spec, const nlohmann::json& value) {
  if (!value.is_string()) {
    return WrongType(spec, "text");
  }
  const std::string_view text = value.get_ref<const std::string&>();
  if (std::find(spec.choices.begin(), spec.choices.end(), text) == spec.choices.end()) {
    std::string allowed = "must be one of";
    for (const std::string_view choice : spec.choices) {
      allowed.append(" ").append(choice);
    }
    return OutOfRange(PointerTo(spec.key), std::move(allowed));
  }
  return {};
}

Check CheckInteger(const SettingSpec& spec, const nlohmann::json& value) {
  if (!value.is_number_integer()) {
    return WrongType(spec, "integer");
  }
  const bool above_signed = value.is_number_unsigned() &&
                            value.get<std::uint64_t>() > static_cast<std::uint64_t>(spec.max);
  if (above_signed || value.get<std::int64_t>() < spec.min ||
      value.get<std::int64_t>() > spec.max) {
    return OutOfRange(PointerTo(spec.key), "must be in " + LimitsOf(spec));
  }
  return {};
}

Check CheckNumber(const SettingSpec& spec, const nlohmann::json& value) {
  if (!value.is_number()) {
    return WrongType(spec, "number");
  }
  const auto number = value.get<double>();
  if (!(number >= static_cast<double>(spec.min) && number <= static_cast<double>(spec.max))) {
    return OutOfRange(PointerTo(spec.key), "must be in " + LimitsOf(spec));
  }
  return {};
}

Check CheckTime(const SettingSpec& spec, const nlohmann::json& value) {
  const auto time = value.is_string() ? details::ParseTime(value.get_ref<const std::string&>())
                                      : std::optional<utils::Duration>();
  if (!time) {
    return WrongType(spec, "time with its unit, ms or s,");
  }
  if (utils::ToMilliseconds(*time) < spec.min || utils::ToMilliseconds(*time) > spec.max) {
    return OutOfRange(PointerTo(spec.key), "must be in " + LimitsOf(spec) + " ms");
  }
  return {};
}

Check CheckValue(const SettingSpec& spec, const nlohmann::json& value) {
  switch (spec.type) {
    case SettingType::kAddress:
      return CheckAddress(value, PointerTo(spec.key));
    case SettingType::kAddresses:
      return CheckAddresses(spec, value);
    case SettingType::kName:
    case SettingType::kText:
      return CheckText(spec, value);
    case SettingType::kChoice:
      return CheckChoice(spec, value);
    case SettingType::kInteger:
      return CheckInteger(spec, value);
    case SettingType::kTime:
      return CheckTime(spec, value);
    case SettingType::kNumber:
      return CheckNumber(spec, value);
  }
  return {};
}

Check CheckKeys(const nlohmann::json& object, std::span<const SettingSpec> specs) {
  for (const auto& [key, value] : object.items()) {
    const auto spec =
        std::find_if(specs.begin(), specs.end(),
                     [&name = key](const auto& candidate) { return candidate.key == name; });
    if (spec == specs.end()) {
      return Fail(ErrorCode::kSettingsUnknownKey, "unknown key", PointerTo(key));
    }
    if (auto checked = CheckValue(*spec, value); !checked) {
      return checked;
    }
  }
  return {};
}

// Adds defaults; fails where a required key is absent.
Check Complete(nlohmann::json& object, std::span<const SettingSpec> specs) {
  for (const SettingSpec& spec : specs) {
    if (object.contains(spec.key)) {
      continue;
    }
    if (spec.required) {
      return Fail(ErrorCode::kSettingsMissingKey, "required key is absent", PointerTo(spec.key));
    }
    if (!spec.default_value.empty()) {
      object[std::string(spec.key)] = nlohmann::json::parse(spec.default_value);
    }
  }
  return {};
}

utils::Result<std::string> SecretOf(const nlohmann::json& object) {
  const bool in_file = object.contains("secret_file");
  if (in_file == object.contains("secret")) {
    return Fail(in_file ? ErrorCode::kSettingsOutOfRange : ErrorCode::kSettingsMissingKey,
                "exactly one of secret and secret_file is required", "/secret");
  }
  if (!in_file) {
    return object["secret"].get<std::string>();
  }
  auto secret = details::ReadSettingsText(object["secret_file"].get<std::string>());
  if (!secret) {
    secret.error().pointer = "/secret_file";
    return secret;
  }
  while (!secret->empty() && (secret->back() == '\n' || secret->back() == '\r')) {
    secret->pop_back();
  }
  const auto specs = AllSettings();
  const auto spec = std::find_if(specs.begin(), specs.end(),
                                 [](const auto& candidate) { return candidate.key == "secret"; });
  if (auto checked = CheckText(*spec, *secret); !checked) {
    return Fail(checked.error().code, checked.error().message, "/secret_file");
  }
  return secret;
}

Settings Fill(const nlohmann::json& object, std::string secret) {
  const auto text = [&object](const char* key) { return object[key].get<std::string>(); };
  const auto size = [&object](const char* key) { return object[key].get<std::size_t>(); };
  const auto time = [&object](const char* key) {
    return utils::Milliseconds(object[key].get<std::int64_t>());
  };
  Settings settings;
  settings.node_address = text("node_address");
  settings.data_address = text("data_address");
  settings.admin_address = text("admin_address");
  settings.region = text("region");
  settings.zone = text("zone");
  settings.seeds = object["seeds"].get<std::vector<std::string>>();
  settings.log_address = text("log_address");
  settings.log_region = text("log_region");
  settings.secret = std::move(secret);
  settings.profile = details::ChoiceOf<distribution::Profile>(object, AllSettings(), "profile");
  settings.spread = details::ChoiceOf<distribution::SpreadKind>(object, AllSettings(), "spread");
  settings.log_level = details::ChoiceOf<LogLevel>(object, AllSettings(), "log_level");
  settings.probe_interval = time("probe_interval_ms");
  settings.suspect_timeout = time("suspect_timeout_ms");
  settings.reader_takeover = time("reader_takeover_ms");
  settings.region_sync = time("region_sync_ms");
  if (object.contains("anti_entropy_ms")) {
    settings.anti_entropy = time("anti_entropy_ms");
  }
  settings.pause_threshold = time("pause_threshold_ms");
  settings.join_jitter = time("join_jitter_ms");
  settings.silent = time("silent_ms");
  settings.max_connections = size("max_connections");
  settings.max_header_bytes = size("max_header_bytes");
  settings.max_body_bytes = size("max_body_bytes");
  return settings;
}

}  // namespace

namespace details {

std::optional<utils::Duration> ParseTime(std::string_view text) {
  double number = 0.0;
  const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
  const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
  if (status != std::errc() || (unit != "ms" && unit != "s") || !(number >= 0.0) ||
      number > kMaxTime) {
    return std::nullopt;
  }
  const double us = number * (unit == "s" ? kMicrosecondsPerSecond : kMicrosecondsPerMillisecond);
  return utils::Duration(static_cast<utils::Duration::rep>(us));
}

utils::Result<std::string> ReadSettingsText(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string content(kMaxFileBytes + 1, '\0');
  file.read(content.data(), static_cast<std::streamsize>(content.size()));
  if (!file && !file.eof()) {
    return Fail(ErrorCode::kSettingsUnreadable, "cannot read " + path);
  }
  content.resize(static_cast<std::size_t>(file.gcount()));
  if (content.size() > kMaxFileBytes) {
    return Fail(ErrorCode::kSettingsUnreadable, path + " is larger than 1 MiB");
  }
  return content;
}

utils::Result<nlohmann::json> ReadSettingsObject(std::string_view text,
                                                 std::span<const SettingSpec> specs) {
  auto object = document::ParseJsonText(text);
  if (!object) {
    return Fail(ErrorCode::kSettingsUnreadable, object.error().message, object.error().pointer);
  }
  if (!object->is_object()) {
    return Fail(ErrorCode::kSettingsWrongType, "object expected");
  }
  if (auto checked = CheckKeys(*object, specs); !checked) {
    return tl::unexpected(checked.error());
  }
  if (auto completed = Complete(*object, specs); !completed) {
    return tl::unexpected(completed.error());
  }
  return std::move(*object);
}

}  // namespace details

utils::Result<Settings> ParseSettings(std::string_view text) {
  auto object = details::ReadSettingsObject(text, AllSettings());
  if (!object) {
    return tl::unexpected(object.error());
  }
  auto secret = SecretOf(*object);
  if (!secret) {
    return tl::unexpected(secret.error());
  }
  return Fill(*object, std::move(*secret));
}

utils::Result<Settings> ReadSettingsFile(const std::string& path) {
  const auto text = details::ReadSettingsText(path);
  if (!text) {
    return tl::unexpected(text.error());
  }
  return ParseSettings(*text);
}

}  // namespace amaranthlatch::runtime
