// Tests of the judgement of calls by keys and public routes.

#include "call_authorizer.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

namespace amaranthlatch::node {

using calls::AuthorizationResult;
using directory::Workspace;
using document::Priority;

namespace {

// Routes /open/ (public) and /closed/ of one host.
directory::MeshConfiguration::Pointer MakeConfiguration(
    std::optional<std::vector<Workspace>> workspaces, Priority closed = Priority::kNormal) {
  std::vector<directory::HostRoute> routes(2);
  for (directory::HostRoute& entry : routes) {
    entry.host = "fleet.example";
    entry.route.is_public = &entry == &routes.front();
    entry.route.path_prefix = entry.route.is_public ? "/open/" : "/closed/";
    entry.route.priority = entry.route.is_public ? Priority::kInternal : closed;
    entry.route.split = {{"fleet", "", 1}};
  }
  directory::WorkspaceTable::Pointer table;
  if (workspaces) {
    table = *directory::WorkspaceTable::Create(directory::ShareWorkspaces(std::move(*workspaces)));
  }
  return *directory::MeshConfiguration::Create(1, directory::ShareRoutes(std::move(routes)),
                                               {{"fleet", "/", 1}}, {}, table);
}

calls::CallReceived MakeCall(const std::string& path, const std::string& key) {
  calls::CallReceived call;
  call.request = {"GET", path, "fleet.example", {{"x", "y"}}, {}};
  call.credentials = {{"credential", key}, {"credential", "second"}};
  call.key = key;
  return call;
}

}  // namespace

TEST_GROUP(CallAuthorizer){};

// Guards against a call that is admitted without a key or with one of no workspace, against a
// public route that needs one, and against a key that is judged before the route is known to exist.
TEST(CallAuthorizer, JudgesByRouteAndKey) {
  const auto none = MakeConfiguration(std::nullopt);
  const auto empty = MakeConfiguration(std::vector<Workspace>{});
  const auto some =
      MakeConfiguration(std::vector<Workspace>{{"w1", {"k1", "k2"}, {}}, {"w2", {}, {}}});
  struct Case {
    directory::MeshConfiguration::Pointer configuration;
    const char* path;
    const char* key;
    AuthorizationResult result;
    const char* workspace;
    bool forwards;
  };
  using enum AuthorizationResult;
  for (const Case& c : std::vector<Case>{
           {nullptr, "/closed/", "", kUnchecked, "", true},
           {none, "/closed/", "", kUnchecked, "", true},
           {empty, "/closed/", "k1", kUnknown, "", false},
           {empty, "/open/", "k1", kPublic, "", false},
           {some, "/closed/", "k1", kKnown, "w1", false},
           {some, "/closed/a?k1", "k2", kKnown, "w1", false},
           {some, "/closed/", "k", kUnknown, "", false},
           {some, "/closed/", "K1", kUnknown, "", false},
           {some, "/closed/", "", kUnknown, "", false},
           {some, "/open/", "k2", kKnown, "w1", false},
           {some, "/open/", "k9", kPublic, "", false},
           {some, "/open/", "", kPublic, "", false},
           {some, "/none/", "", kUnchecked, "", false},
       }) {
    calls::CallReceived call = MakeCall(c.path, c.key);
    const calls::Authorization judged = CallAuthorizer(c.configuration).Apply(call);
    const std::string text = std::string(c.path) + " with " + c.key;
    CHECK_TRUE_TEXT(judged.result == c.result, text.c_str());
    STRCMP_EQUAL_TEXT(c.workspace, call.workspace.c_str(), text.c_str());
    const bool refused = c.result == kUnknown;
    CHECK_TRUE_TEXT((judged.Code() == utils::ErrorCode::kKeyUnknown) == refused, text.c_str());
    CHECK_TRUE_TEXT(call.credentials_forwarded == c.forwards, text.c_str());
    LONGS_EQUAL_TEXT(c.forwards ? 3 : 1, call.request.headers.size(), text.c_str());
    CHECK_TRUE_TEXT(call.priority.has_value() == (c.result == kKnown), text.c_str());
  }
}

// Guards against a call that waits for another version and is then judged by the earlier one, or
// whose credentials are forwarded twice or stay in the request.
TEST(CallAuthorizer, LaterJudgementReplacesTheEarlierOne) {
  const CallAuthorizer without(MakeConfiguration(std::nullopt));
  const CallAuthorizer with(MakeConfiguration(std::vector<Workspace>{{"w1", {"k1"}, {}}}));
  calls::CallReceived call = MakeCall("/closed/", "k1");
  without.Apply(call);
  without.Apply(call);
  CHECK_TRUE(call.request.headers ==
             calls::Headers({{"x", "y"}, {"credential", "k1"}, {"credential", "second"}}));
  with.Apply(call);
  CHECK_TRUE(call.request.headers == calls::Headers({{"x", "y"}}) && call.workspace == "w1");
  without.Apply(call);
  CHECK_TRUE(call.request.headers.size() == 3 && call.workspace.empty() && !call.priority);
}

// Guards against a call of a workspace that takes the class of calls between services, and against
// workspaces or routes that change their order.
TEST(CallAuthorizer, PrioritiesKeepTheirOrderBelowInternal) {
  const auto priority = [](std::optional<Priority> own, Priority route, const char* path) {
    const CallAuthorizer authorizer(MakeConfiguration(
        std::vector<Workspace>{{"w1", {"k1"}, own}, {"w2", {}, Priority::kNormal}}, route));
    return *authorizer.Authorize(MakeCall(path, "k1").request, "k1", nullptr).priority;
  };
  using enum Priority;
  CHECK_TRUE(priority(kInternal, kInteractive, "/closed/") == kInteractive);
  CHECK_TRUE(priority(kInteractive, kInternal, "/closed/") == kNormal);
  CHECK_TRUE(priority(kNormal, kInternal, "/closed/") == kBatch);
  // Without a rank 0 among them there is a class for each rank.
  CHECK_TRUE(priority(kInteractive, kNormal, "/closed/") == kInteractive);
  CHECK_TRUE(priority({}, kNormal, "/closed/") == kNormal);
  CHECK_TRUE(priority({}, kInternal, "/closed/") == kInteractive);
  CHECK_TRUE(priority({}, kNormal, "/open/") == kInteractive);
}

// Guards against equal shares of workspaces with unequal quotas, and against a weight of 0.
TEST(CallAuthorizer, WeightsFollowTheQuotas) {
  const CallAuthorizer authorizer(MakeConfiguration(std::vector<Workspace>{
      {"small", {}, {}, 10.0}, {"large", {}, {}, 30.0}, {"free", {}, {}}, {"tiny", {}, {}, 1e-9}}));
  DOUBLES_EQUAL(3.0, authorizer.WeightOf("large") / authorizer.WeightOf("small"), 1e-9);
  DOUBLES_EQUAL(1.0, authorizer.WeightOf("free"), 1e-9);
  DOUBLES_EQUAL(0.01, authorizer.WeightOf("tiny"), 1e-9);
}

}  // namespace amaranthlatch::node
