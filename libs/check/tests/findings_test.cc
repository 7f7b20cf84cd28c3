// Tests of warnings and differences on both forms.

#include "amaranthlatch/check/findings.h"

#include <CppUTest/TestHarness.h>

#include <functional>

#include "amaranthlatch/check/difference.h"

namespace amaranthlatch::check {

using document::Priority;
using document::Route;
using utils::ErrorCode;
using utils::Milliseconds;

namespace {

Route MakeRoute(const std::string& name, const std::string& prefix) {
  Route route;
  route.name = name;
  route.path_prefix = prefix;
  route.split = {{"s", "v", 1}};
  route.deadline = Milliseconds(2000);
  route.max_attempts = 2;
  return route;
}

document::ServiceDocument MakeDocument() {
  document::ServiceDocument document;
  document.service = "s";
  document.versions["v"] = {};
  document.protection.max_attempts = 3;
  document.routes = {MakeRoute("a", "/a"), MakeRoute("b", "/")};
  return document;
}

struct Mesh {
  std::vector<directory::HostRoute> routes = {{"h", MakeRoute("a", "/a/")},
                                              {"h", MakeRoute("b", "/b/")}};
  std::vector<directory::MeshService> services = {{"s", "/", 10}};
  std::vector<directory::Workspace> workspaces = {{"w", {"key"}, std::nullopt, 10.0, 5.0}};

  Configuration Describe() const {
    const auto table = directory::WorkspaceTable::Create(directory::ShareWorkspaces(workspaces));
    const auto mesh = directory::MeshConfiguration::Create(
        1, directory::ShareRoutes(routes), services, directory::ServiceDefaults{}, *table);
    return check::Describe(**mesh, {"/r", "/s", "/w"});
  }
};

// Expects exactly one warning after the edit of a configuration that has none.
void ExpectOne(ErrorCode code, const std::string& pointer, const Configuration& configuration) {
  const auto warnings = FindWarnings(configuration);
  CHECK_EQUAL(1U, warnings.size());
  CHECK_TRUE(warnings[0].code == code);
  STRCMP_EQUAL(pointer.c_str(), warnings[0].pointer.c_str());
}

void ExpectInDocument(ErrorCode code, const std::function<void(document::ServiceDocument&)>& edit) {
  document::ServiceDocument document = MakeDocument();
  edit(document);
  ExpectOne(code, "/routes/1", Describe(document));
}

void ExpectInMesh(ErrorCode code, const std::string& pointer,
                  const std::function<void(Mesh&)>& edit) {
  Mesh mesh;
  edit(mesh);
  ExpectOne(code, pointer, mesh.Describe());
}

}  // namespace

TEST_GROUP(Findings){};

// Guards against warnings about sound configurations, and against a contradiction that is missed.
TEST(Findings, Document) {
  CHECK_TRUE(FindWarnings(Describe(MakeDocument())).empty());
  ExpectInDocument(ErrorCode::kEntryNeverMatches, [](auto& document) {
    document.routes[1].path_prefix = "/a";
    document.routes[1].methods = {"GET"};
  });
  ExpectInDocument(ErrorCode::kTargetWithoutShare, [](auto& document) {
    document.routes[1].split.push_back({"t", "v", 0});
  });
  ExpectInDocument(ErrorCode::kNestedCallOutlivesCaller, [](auto& document) {
    document.routes[1].priority = Priority::kInternal;
    document.routes[1].deadline = Milliseconds(2001);
  });
  ExpectInDocument(ErrorCode::kBodyLimitAboveMemory,
                   [](auto& document) { document.routes[1].max_request_bytes = 40'000'000; });
  ExpectInDocument(ErrorCode::kBodyLimitAboveMemory,
                   [](auto& document) { document.routes[1].max_response_bytes = 50'000'000; });
}

// Guards against a later route that is called unreachable although it takes other methods.
TEST(Findings, RoutesOfOnePrefixDivideMethods) {
  document::ServiceDocument document = MakeDocument();
  document.routes[0].methods = {"GET"};
  document.routes[1].path_prefix = "/a";
  CHECK_TRUE(FindWarnings(Describe(document)).empty());
}

TEST(Findings, Mesh) {
  CHECK_TRUE(FindWarnings(Mesh().Describe()).empty());
  ExpectInMesh(ErrorCode::kEntryNeverMatches, "/r/1",
               [](Mesh& mesh) { mesh.routes[1].route.path_prefix = "/b?c/"; });
  ExpectInMesh(ErrorCode::kTargetWithoutServers, "/r/1", [](Mesh& mesh) {
    mesh.services.push_back({"closed", "/", 0});
    mesh.routes[1].route.split.push_back({"closed", "", 1});
  });
  ExpectInMesh(ErrorCode::kTimeoutBelowTarget, "/r/1", [](Mesh& mesh) {
    mesh.routes[1].route.max_attempts = 1;
    mesh.routes[1].route.target_latency = Milliseconds(2001);
  });
  ExpectInMesh(ErrorCode::kAttemptsExceedTimeout, "/r/1",
               [](Mesh& mesh) { mesh.routes[1].route.target_latency = Milliseconds(1001); });
  ExpectInMesh(ErrorCode::kQuotaBelowBurst, "/w/0",
               [](Mesh& mesh) { mesh.workspaces[0].burst = 10.5; });
}

// Guards against a change that is not shown, and against keys in what is shown.
TEST(Findings, DifferencesNameItemFieldAndEffect) {
  Mesh later;
  later.routes[0].route.deadline = Milliseconds(900);
  later.routes[1].route.path_prefix = "/c/";
  later.workspaces[0].keys = {"secret"};
  const auto differences = Compare(Mesh().Describe(), later.Describe());
  CHECK_EQUAL(4U, differences.size());
  CHECK_TRUE(differences[0].change == Change::kRemoved && differences[0].item == "route h/b/");
  CHECK_TRUE(differences[1] ==
             (Difference{Change::kChanged, "route h/a/", "/r/0", "timeout", "2000 ms", "900 ms",
                         "calls that take longer than the new timeout are ended"}));
  CHECK_TRUE(differences[2].change == Change::kAdded && differences[2].item == "route h/c/");
  CHECK_TRUE(differences[3].field == "keys" && differences[3].pointer == "/w/0");
  CHECK_TRUE(differences[3].after.find("secret") == std::string::npos);
  CHECK_TRUE(Compare(Mesh().Describe(), Mesh().Describe()).empty());
}

// Guards against a field without a stated effect, which would end the program.
TEST(Findings, EveryFieldHasAnEffect) {
  for (const Configuration& configuration : {Mesh().Describe(), Describe(MakeDocument())}) {
    Configuration earlier = configuration;
    std::size_t fields = 0;
    for (auto& [name, item] : earlier.items) {
      for (auto& [field, value] : item.fields) {
        value.append("!");
        ++fields;
      }
    }
    CHECK_EQUAL(fields, Compare(earlier, configuration).size());
    CHECK_EQUAL(configuration.items.size(), Compare({}, configuration).size());
  }
}

}  // namespace amaranthlatch::check
