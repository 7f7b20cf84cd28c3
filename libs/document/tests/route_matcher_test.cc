// Tests of route lookup.

#include "amaranthlatch/document/route_matcher.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>

#include "property_test.h"

namespace amaranthlatch::document {

namespace {

Route MakeRoute(const std::string& name, const std::string& prefix,
                std::vector<std::string> methods = {}) {
  Route route;
  route.name = name;
  route.path_prefix = prefix;
  route.methods = std::move(methods);
  return route;
}

RouteMatcher MakeMatcher(std::vector<Route> routes) {
  auto document = std::make_shared<ServiceDocument>();
  document->routes = std::move(routes);
  return RouteMatcher(document);
}

std::string NameOf(const Route* route) { return route == nullptr ? "-" : route->name; }

// Reference implementation of the matching rule in docs/design.md section 3: a linear scan.
const Route* ScanRoutes(const std::vector<Route>& routes, const std::string& path) {
  const Route* best = nullptr;
  for (const Route& route : routes) {
    const std::string& prefix = route.path_prefix;
    const bool matches =
        prefix == "/" || path == prefix || path.compare(0, prefix.size() + 1, prefix + "/") == 0;
    if (matches && (best == nullptr || prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

}  // namespace

TEST_GROUP(RouteMatcher){};

// Guards against prefixes that match part of a segment, and against wrong precedence.
TEST(RouteMatcher, LongestPrefixAtSegmentBoundaryWinsThenDocumentOrder) {
  const RouteMatcher matcher = MakeMatcher(
      {MakeRoute("root", "/"), MakeRoute("blocks", "/blocks"), MakeRoute("later", "/blocks"),
       MakeRoute("open", "/blocks/open"), MakeRoute("post", "/blocks/open/all", {"POST"})});
  STRCMP_EQUAL("blocks", NameOf(matcher.Match("/blocks", "GET")).c_str());
  STRCMP_EQUAL("blocks", NameOf(matcher.Match("/blocks/7?x=/blocks/open", "GET")).c_str());
  STRCMP_EQUAL("root", NameOf(matcher.Match("/blocksmith", "GET")).c_str());
  STRCMP_EQUAL("open", NameOf(matcher.Match("/blocks/open/", "GET")).c_str());
  STRCMP_EQUAL("open", NameOf(matcher.Match("/blocks/open/all", "GET")).c_str());
  STRCMP_EQUAL("post", NameOf(matcher.Match("/blocks/open/all", "POST")).c_str());
  POINTERS_EQUAL(nullptr, MakeMatcher({MakeRoute("a", "/a")}).Match("/b", "GET"));
}

// Guards against equivalent spellings of a path that bypass a route with a required permit (P6).
TEST(RouteMatcher, EquivalentPathsMatchTheSameRoute) {
  const RouteMatcher matcher =
      MakeMatcher({MakeRoute("root", "/"), MakeRoute("blocks", "/blocks/new")});
  for (const char* path :
       {"/%62locks/new", "//blocks//new", "/x/../blocks/./new", "blocks/new", "/blocks/%6eew",
        "/blocks/%6Eew", "/../blocks/new#f", "/%2e/blocks/new"}) {
    STRCMP_EQUAL_TEXT("blocks", NameOf(matcher.Match(path, "GET")).c_str(), path);
  }
  STRCMP_EQUAL("/a%2Fb%", NormalizePath("/a%2fb%").c_str());
  STRCMP_EQUAL("/", NormalizePath("").c_str());
}

// Guards against equivalent spellings of a host that normalize to different values.
TEST(RouteMatcher, EquivalentHostsNormalizeToOneValue) {
  STRCMP_EQUAL("a.example", NormalizeHost("A.Example:8080").c_str());
  STRCMP_EQUAL("a.example", NormalizeHost("a.example.").c_str());
  STRCMP_EQUAL("[::1]", NormalizeHost("[::1]:80").c_str());
  STRCMP_EQUAL("", NormalizeHost("").c_str());
}

// Guards against an index that selects a different route than a linear scan does.
TEST(RouteMatcher, AgreesWithALinearScan) {
  const auto path = rc::gen::map(rc::gen::container<std::vector<std::string>>(
                                     rc::gen::elementOf(std::vector<std::string>{"a", "b", "ab"})),
                                 [](const std::vector<std::string>& segments) {
                                   std::string text;
                                   for (const std::string& segment : segments) {
                                     text.append("/").append(segment);
                                   }
                                   return text.empty() ? std::string("/") : text;
                                 });
  CHECK_TRUE(HoldsProperty(4, 1000, [&path] {
    std::vector<Route> routes;
    for (const std::string& prefix : *rc::gen::container<std::vector<std::string>>(path)) {
      routes.push_back(MakeRoute("r" + std::to_string(routes.size()), prefix));
    }
    const std::string asked = *path;
    RC_ASSERT(NameOf(MakeMatcher(routes).Match(asked, "GET")) == NameOf(ScanRoutes(routes, asked)));
  }));
}

// Guards against normalization that crashes or leaves empty segments, a query or a fragment.
TEST(RouteMatcher, NormalizesArbitraryBytes) {
  CHECK_TRUE(HoldsProperty(5, 1000, [](const std::string& bytes) {
    const std::string path = NormalizePath(bytes);
    RC_ASSERT(path.front() == '/');
    RC_ASSERT(path.find("//") == std::string::npos);
    RC_ASSERT(path.find_first_of("?#") == std::string::npos);
    NormalizeHost(bytes);
  }));
}

}  // namespace amaranthlatch::document
