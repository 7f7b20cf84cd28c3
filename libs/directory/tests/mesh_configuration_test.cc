// Tests of configurations of a whole mesh.

#include "amaranthlatch/directory/mesh_configuration.h"

#include <CppUTest/TestHarness.h>

#include "configuration_fixture.h"

namespace amaranthlatch::directory::testing {

using utils::ErrorCode;

TEST_GROUP(MeshConfiguration){};

// Guards against a prefix that is matched in the product's normal form, or at a shorter length.
TEST(MeshConfiguration, LongestLiteralPrefixWins) {
  const auto made = MeshConfiguration::Create(
      7,
      {MakeRoute("a.example", "/"), MakeRoute("a.example", "/x/"), MakeRoute("a.example", "/x/y/")},
      {{"fleet", "/health", 10}}, {});
  CHECK_TRUE(made.has_value());
  const auto name = [&made](const char* host, const char* path) {
    const auto match = (*made)->Match(host, path, "GET");
    return match ? match->route->path_prefix : std::string("none");
  };
  STRCMP_EQUAL("/x/y/", name("a.example", "/x/y/z").c_str());
  STRCMP_EQUAL("/x/", name("a.example", "/x/y").c_str());
  STRCMP_EQUAL("/x/", name("A.EXAMPLE:80", "/x/?q=/x/y/").c_str());
  STRCMP_EQUAL("/x/", name("a.example", "/x/../y/").c_str());
  STRCMP_EQUAL("/", name("a.example", "/x").c_str());
  STRCMP_EQUAL("/", name("a.example", "/%78/").c_str());
  STRCMP_EQUAL("none", name("b.example", "/x/").c_str());
}

// Guards against a route that is used after the configuration it came from was replaced.
TEST(MeshConfiguration, MatchKeepsItsRouteAlive) {
  auto made = MakeConfiguration(7);
  const auto match = made->Match("fleet.example", "/read/1", "GET");
  made.reset();
  CHECK_TRUE(match.has_value());
  STRCMP_EQUAL("/read/", match->route->path_prefix.c_str());
  CHECK_EQUAL(7, match->version);
}

// Guards against a configuration that sends calls nowhere.
TEST(MeshConfiguration, RefusesWhatDoesNotClose) {
  const auto refused = [](std::vector<HostRoute> routes) {
    const auto made = MeshConfiguration::Create(1, std::move(routes), {{"fleet", "/", 1}}, {});
    return !made && made.error().code == ErrorCode::kConfigurationMalformed;
  };
  HostRoute route = MakeRoute("a", "/x/");
  CHECK_FALSE(refused({route}));
  CHECK_TRUE(refused({route, route}));
  route.route.split = {{"dispatch", "", 1}};
  CHECK_TRUE(refused({route}));
  route.route.split = {{"fleet", "", 0}};
  CHECK_TRUE(refused({route}));
  CHECK_TRUE(refused({MakeRoute("a", "/x")}));
  CHECK_TRUE(refused({MakeRoute("a", "x/")}));
}

}  // namespace amaranthlatch::directory::testing
