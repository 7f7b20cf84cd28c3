// Tests of the settings, their page and the example files.

#include "amaranthlatch/runtime/settings.h"

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "property_test.h"

namespace amaranthlatch::runtime {

using utils::ErrorCode;

namespace {

nlohmann::json Minimal() {
  return {{"node_address", "127.0.0.1:7000"},
          {"data_address", "127.0.0.1:8000"},
          {"admin_address", "127.0.0.1:9000"},
          {"region", "north"},
          {"zone", "ondangwa"},
          {"log_address", "127.0.0.1:7001"},
          {"secret", "0123456789abcdef"}};
}

std::string Row(const SettingSpec& spec) {
  std::string limits = "-";
  if (!spec.choices.empty()) {
    limits.clear();
    for (const std::string_view choice : spec.choices) {
      limits.append(limits.empty() ? "" : ", ").append(choice);
    }
  } else if (spec.max > 0) {
    limits = std::to_string(spec.min) + ".." + std::to_string(spec.max);
  }
  std::string default_value = spec.required ? "required" : "none";
  if (!spec.default_value.empty()) {
    default_value = "`" + std::string(spec.default_value) + "`";
  }
  return "| `" + std::string(spec.key) + "` | " + std::string(spec.unit) + " | " + default_value +
         " | " + limits + " |";
}

}  // namespace

TEST_GROUP(SettingsTest){
    static void ExpectFailure(const nlohmann::json& settings, ErrorCode code, const char* pointer){
        const auto parsed = ParseSettings(settings.dump());
CHECK_FALSE(parsed.has_value());
CHECK_EQUAL(utils::ToNumber(code), utils::ToNumber(parsed.error().code));
STRCMP_EQUAL(pointer, parsed.error().pointer.c_str());
}  // namespace amaranthlatch::runtime
}
;

// Guards against a page that states other keys, units, defaults or limits than the program has.
TEST(SettingsTest, PageHasTheTable) {
  std::ifstream page("docs/settings.md");
  std::set<std::string> documented;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("| `")) {
      documented.insert(line);
    }
  }
  std::set<std::string> defined;
  for (const SettingSpec& spec : AllSettings()) {
    defined.insert(Row(spec));
    CHECK_TRUE_TEXT(documented.contains(Row(spec)), Row(spec).c_str());
  }
  CHECK_TRUE(documented == defined);
}

// Guards against defaults that are not those of the table.
TEST(SettingsTest, FillsDefaults) {
  const auto settings = ParseSettings(Minimal().dump());
  CHECK_TRUE(settings.has_value());
  CHECK_TRUE(settings->silent == utils::Milliseconds(2000));
  CHECK_TRUE(settings->spread == distribution::SpreadKind::kTree);
  CHECK_FALSE(settings->anti_entropy.has_value());
  LONGS_EQUAL(1048576, settings->max_body_bytes);
}

// Guards against mistakes in a file that are silently ignored.
TEST(SettingsTest, RefusesWithCodeAndPointer) {
  const auto with = [](const char* key, const nlohmann::json& value) {
    nlohmann::json settings = Minimal();
    settings[key] = value;
    return settings;
  };
  ExpectFailure(with("node_adress", 1), ErrorCode::kSettingsUnknownKey, "/node_adress");
  ExpectFailure(with("zone", 1), ErrorCode::kSettingsWrongType, "/zone");
  ExpectFailure(with("zone", "a b"), ErrorCode::kSettingsOutOfRange, "/zone");
  ExpectFailure(with("silent_ms", 1.5), ErrorCode::kSettingsWrongType, "/silent_ms");
  ExpectFailure(with("silent_ms", -1), ErrorCode::kSettingsOutOfRange, "/silent_ms");
  ExpectFailure(with("silent_ms", UINT64_MAX), ErrorCode::kSettingsOutOfRange, "/silent_ms");
  ExpectFailure(with("spread", "flood"), ErrorCode::kSettingsOutOfRange, "/spread");
  ExpectFailure(with("seeds", {"127.0.0.1:1", "host:2"}), ErrorCode::kSettingsOutOfRange,
                "/seeds/1");
  ExpectFailure(with("data_address", "127.0.0.1:0"), ErrorCode::kSettingsOutOfRange,
                "/data_address");
  ExpectFailure(with("data_address", "127.0.0.1:70000"), ErrorCode::kSettingsOutOfRange,
                "/data_address");
  ExpectFailure(with("secret_file", "/nonexistent"), ErrorCode::kSettingsOutOfRange, "/secret");
  nlohmann::json incomplete = Minimal();
  incomplete.erase("zone");
  ExpectFailure(incomplete, ErrorCode::kSettingsMissingKey, "/zone");
  ExpectFailure(nlohmann::json::array(), ErrorCode::kSettingsWrongType, "");
  CHECK_TRUE(ParseSettings("{").error().code == ErrorCode::kSettingsUnreadable);
  CHECK_TRUE(ReadSettingsFile("/nonexistent").error().code == ErrorCode::kSettingsUnreadable);
}

// Guards against a secret file whose line break becomes part of the secret.
TEST(SettingsTest, ReadsTheSecretFile) {
  const std::string path = std::filesystem::temp_directory_path() / "amaranthlatch-secret-test";
  std::ofstream(path) << "fedcba9876543210\n";
  nlohmann::json settings = Minimal();
  settings.erase("secret");
  settings["secret_file"] = path;
  const auto parsed = ParseSettings(settings.dump());
  std::filesystem::remove(path);
  CHECK_TRUE(parsed.has_value());
  STRCMP_EQUAL("fedcba9876543210", parsed->secret.c_str());
}

// Guards against example files that no longer load or that name one address twice.
TEST(SettingsTest, ExamplesLoad) {
  for (const char* deployment : {"oshana", "blue-mahoe"}) {
    const std::string directory = std::string("examples/") + deployment + "/settings";
    std::set<std::string> addresses;
    std::size_t count = 0;
    for (const auto& file : std::filesystem::directory_iterator(directory)) {
      const auto settings = ReadSettingsFile(file.path());
      CHECK_TRUE_TEXT(settings.has_value(), file.path().c_str());
      addresses.insert({settings->node_address, settings->data_address, settings->admin_address});
      ++count;
    }
    LONGS_EQUAL(12, count);
    LONGS_EQUAL(36, addresses.size());
  }
}

// Guards against crashes and against values that pass without a check.
TEST(SettingsTest, RandomChangesAreRefusedOrInRange) {
  CHECK_TRUE(HoldsProperty(11, 2000, [](const std::string& noise, std::uint32_t position) {
    std::string text = Minimal().dump();
    text.replace(position % text.size(), noise.size() % 8, noise);
    const auto parsed = ParseSettings(text);
    RC_ASSERT(!parsed || (parsed->secret.size() >= 16 && !parsed->zone.empty()));
    RC_ASSERT(parsed || utils::ToNumber(parsed.error().code) / 1000 == 6);
  }));
}

}  // namespace amaranthlatch::runtime
