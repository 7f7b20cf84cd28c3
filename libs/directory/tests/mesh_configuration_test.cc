// Tests of mesh configurations.

#include "amaranthlatch/directory/mesh_configuration.h"

#include <CppUTest/TestHarness.h>

#include "configuration_fixture.h"

namespace amaranthlatch::directory::testing {

using utils::ErrorCode;

TEST_GROUP(MeshConfiguration){};

// Guards against matching a normalized instead of the literal path, and against choosing a shorter
// prefix than the longest match.
TEST(MeshConfiguration, MatchesLongestLiteralPrefix) {
  const auto configuration = MeshConfiguration::Create(
      7,
      ShareRoutes({MakeRoute("a.example", "/"), MakeRoute("a.example", "/x/"),
                   MakeRoute("a.example", "/x/y/")}),
      {{"fleet", "/health", 10}}, {});
  CHECK_TRUE(configuration.has_value());
  const auto name = [&configuration](const char* host, const char* path) {
    const auto match = (*configuration)->Match(host, path, "GET");
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

// Guards against a dangling route pointer after the configuration that owns it was replaced.
TEST(MeshConfiguration, MatchKeepsRouteAlive) {
  auto configuration = MakeConfiguration(7);
  const auto match = configuration->Match("fleet.example", "/read/1", "GET");
  configuration.reset();
  CHECK_TRUE(match.has_value());
  STRCMP_EQUAL("/read/", match->route->path_prefix.c_str());
  CHECK_EQUAL(7, match->version);
}

// Guards against accepting ambiguous routes, unusable prefixes, and routes without a usable target.
TEST(MeshConfiguration, RejectsInvalidRoutes) {
  const auto is_rejected = [](std::vector<HostRoute> routes) {
    const auto configuration =
        MeshConfiguration::Create(1, ShareRoutes(std::move(routes)), {{"fleet", "/", 1}}, {});
    return !configuration && configuration.error().code == ErrorCode::kConfigurationMalformed;
  };
  HostRoute route = MakeRoute("a", "/x/");
  CHECK_FALSE(is_rejected({route}));
  CHECK_TRUE(is_rejected({route, route}));
  route.route.split = {{"dispatch", "", 1}};
  CHECK_TRUE(is_rejected({route}));
  route.route.split = {{"fleet", "", 0}};
  CHECK_TRUE(is_rejected({route}));
  CHECK_TRUE(is_rejected({MakeRoute("a", "/x")}));
  CHECK_TRUE(is_rejected({MakeRoute("a", "x/")}));
}

}  // namespace amaranthlatch::directory::testing
