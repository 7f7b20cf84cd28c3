// Tests of the settings of register mode and of their page.

#include "amaranthlatch/runtime/register_settings.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "settings/register_options.h"

namespace amaranthlatch::runtime {

using utils::ErrorCode;

namespace {

nlohmann::json Minimal() {
  return {{"node_address", "10.0.0.1:1"},
          {"data_address", "10.0.0.1:2"},
          {"ready_address", "10.0.0.1:3"},
          {"control_address", "10.0.0.1:4"},
          {"admin_address", "10.0.0.1:5"},
          {"register_address", "10.0.0.9:1"},
          {"region", "north"},
          {"zone", "ondangwa"},
          {"backend_service", "fleet"},
          {"backend_address", "10.0.0.1:6"},
          {"secret", "0123456789abcdef"}};
}

}  // namespace

TEST_GROUP(RegisterSettings){
    static void ExpectFailure(const char* key, const nlohmann::json& value,
                              ErrorCode code){nlohmann::json object = Minimal();
object[key] = value;
const auto parsed = ParseRegisterSettings(object.dump());
CHECK_FALSE(parsed.has_value());
CHECK_EQUAL(utils::ToNumber(code), utils::ToNumber(parsed.error().code));
STRCMP_EQUAL((std::string("/") + key).c_str(), parsed.error().pointer.c_str());
}  // namespace amaranthlatch::runtime
}
;

// Guards against defaults and units that are read in another way than the page says.
TEST(RegisterSettings, ReadsValuesWithUnits) {
  nlohmann::json object = Minimal();
  object["shutdown_limit"] = "6.5s";
  object["retry_ratio"] = 0.2;
  object["retry_slack"] = 56;
  object["crossing_zone_ms_per_kb"] = 0.25;
  const auto settings = ParseRegisterSettings(object.dump());
  CHECK_TRUE(settings.has_value());
  CHECK_TRUE(settings->shutdown_limit == utils::Milliseconds(6500));
  DOUBLES_EQUAL(0.2, settings->retry_ratio, 1e-9);
  DOUBLES_EQUAL(56.0, settings->retry_slack, 1e-9);
  CHECK_TRUE(settings->crossing_zone == utils::Milliseconds(30));
  CHECK_TRUE(settings->crossing_region == utils::Milliseconds(150));
  CHECK_TRUE(settings->crossing_zone_per_kb == utils::Duration(250));
  object["shutdown_limit"] = "2500ms";
  CHECK_TRUE(ParseRegisterSettings(object.dump())->shutdown_limit == utils::Milliseconds(2500));
}

// Guards against more connections than the process has descriptors for, and against a rate in
// another unit than the link's.
TEST(RegisterSettings, DescriptorsLimitConnections) {
  nlohmann::json object = Minimal();
  object["max_connections"] = 100'000;
  object["link_rate_mbps"] = 11.0;
  object["processor_share"] = 0.1;
  const auto connections = [&object](int descriptors) {
    object["max_descriptors"] = descriptors;
    return details::MaxCallerConnections(*ParseRegisterSettings(object.dump()));
  };
  LONGS_EQUAL(100'000, connections(0));
  // 200 for files, two for each of 512 links, 256 for the backend server.
  CHECK_TRUE(connections(4100) + 200 + std::uint64_t{2} * 512 + 256 < 4100);
  CHECK_TRUE(connections(4100) > 1'500);
  CHECK_TRUE(connections(8192) == connections(4100) + 4092);
  object["max_connections"] = 1'000;
  LONGS_EQUAL(1'000, connections(4100));
  const auto settings = ParseRegisterSettings(object.dump());
  const auto transport = details::MakeTransportOptions(*settings, details::MemoryPlan());
  DOUBLES_EQUAL(1'375'000, transport.link_bytes_per_second, 1e-6);
  const auto node = details::MakeRegisterNodeOptions(*settings, 1, 1);
  LONGS_EQUAL(11'000'000, node.calls.gate.link_bits_per_second);
}

// Guards against settings that start a node with something else than was meant.
TEST(RegisterSettings, RefusesBadValues) {
  ExpectFailure("shutdown_limit", "6", ErrorCode::kSettingsWrongType);
  ExpectFailure("shutdown_limit", "6m", ErrorCode::kSettingsWrongType);
  ExpectFailure("shutdown_limit", "-1s", ErrorCode::kSettingsWrongType);
  ExpectFailure("shutdown_limit", 6, ErrorCode::kSettingsWrongType);
  ExpectFailure("shutdown_limit", "1ms", ErrorCode::kSettingsOutOfRange);
  ExpectFailure("retry_ratio", "0.2", ErrorCode::kSettingsWrongType);
  ExpectFailure("retry_ratio", 1.5, ErrorCode::kSettingsOutOfRange);
  ExpectFailure("zone", "a b", ErrorCode::kSettingsOutOfRange);
  ExpectFailure("link_rate_mbps", -1, ErrorCode::kSettingsOutOfRange);
  ExpectFailure("max_descriptors", 4100.5, ErrorCode::kSettingsWrongType);
  ExpectFailure("data_address", "10.0.0.1:0", ErrorCode::kSettingsOutOfRange);
  ExpectFailure("unknown", 1, ErrorCode::kSettingsUnknownKey);
  nlohmann::json object = Minimal();
  object.erase("register_address");
  CHECK_EQUAL(utils::ToNumber(ErrorCode::kSettingsMissingKey),
              utils::ToNumber(ParseRegisterSettings(object.dump()).error().code));
}

// Guards against a page that leaves a setting out.
TEST(RegisterSettings, PageNamesEveryKey) {
  std::ifstream page("docs/platform.md");
  const std::string text((std::istreambuf_iterator<char>(page)), std::istreambuf_iterator<char>());
  for (const SettingSpec& spec : AllRegisterSettings()) {
    const std::string row = "| `" + std::string(spec.key) + "` |";
    CHECK_TRUE_TEXT(text.find(row) != std::string::npos, row.c_str());
  }
}

}  // namespace amaranthlatch::runtime
