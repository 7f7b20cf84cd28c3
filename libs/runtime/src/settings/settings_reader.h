// Reading of settings files against a table of keys.

#pragma once

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "amaranthlatch/runtime/settings.h"
#include "amaranthlatch/utils/result.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime::details {

// "250ms" or "1.5s"; none for other texts.
std::optional<utils::Duration> ParseTime(std::string_view text);

// Fails with kSettingsUnreadable.
utils::Result<std::string> ReadSettingsText(const std::string& path);

// The object with defaults filled in. Fails with a code of 6001..6005 and a pointer.
utils::Result<nlohmann::json> ReadSettingsObject(std::string_view text,
                                                 std::span<const SettingSpec> specs);

// Position of the value among the choices of its row, which follow the order of the enumeration.
template <typename Enum>
Enum ChoiceOf(const nlohmann::json& object, std::span<const SettingSpec> specs,
              std::string_view key) {
  const auto spec = std::find_if(specs.begin(), specs.end(),
                                 [key](const auto& candidate) { return candidate.key == key; });
  const auto text = object[std::string(key)].get<std::string>();
  const auto position = std::find(spec->choices.begin(), spec->choices.end(), text);
  return static_cast<Enum>(position - spec->choices.begin());
}

}  // namespace amaranthlatch::runtime::details
