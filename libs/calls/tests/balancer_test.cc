// Tests of the balancer and the load balancing policies.

#include "balancer.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>

#include "mesh.h"

namespace amaranthlatch::calls::testing {

using details::AttemptOutcome;
using membership::Member;
using membership::MemberState;
using utils::Milliseconds;
using utils::Seconds;

TEST_GROUP(Balancer) {
  details::SharedState shared{Options{}};
  details::Balancer balancer{shared, std::make_unique<PowerOfTwoPolicy>()};
  FakeMembers members{"self"};
  FakeRoutes routes;
  document::ServiceDocument document = FleetDocument();
  utils::Timestamp now{Seconds(100)};
  std::vector<Effect> effects;
  std::deque<Message> loopback;

  void setup() override {
    this->routes.Set(this->document);
    this->Add("self", "r1", "z1", MemberState::kJoining);
  }
  void Add(const std::string& id, const std::string& region, const std::string& zone,
           MemberState state = MemberState::kReady, const document::Labels& labels = {}) {
    Member member;
    member.id = id;
    member.region = region;
    member.zone = zone;
    member.service = "fleet";
    member.labels = labels;
    member.state = state;
    member.slots = 4;
    member.boot_id = 1;
    this->members.Set(member);
  }
  std::string Choose(const std::vector<std::string>& tried = {}) {
    const details::Context context{this->now, this->members, this->routes, this->effects,
                                   this->loopback};
    std::optional<std::size_t> target;
    const Member* chosen =
        this->balancer.Choose(context, *FindRoute(this->document, "read"), tried, target);
    return chosen == nullptr ? "" : chosen->id;
  }
  std::map<std::string, int> Draw(int count) {
    std::map<std::string, int> drawn;
    for (int i = 0; i < count; ++i) {
      ++drawn[this->Choose()];
    }
    return drawn;
  }
  void Load(const std::string& id, int calls) {
    for (int i = 0; i < calls; ++i) {
      this->balancer.OnSent(id, document::Priority::kNormal, this->now);
    }
  }
};

// Guards against calls that leave their zone or region while it has capacity, or that stay when it
// is full.
TEST(Balancer, NearLevelsAreFilledBeforeSpilling) {
  this->Add("far", "r2", "z9");
  this->Add("region", "r1", "z2");
  this->Add("zone", "r1", "z1");
  STRCMP_EQUAL("zone", this->Choose().c_str());
  this->Load("zone", 4);
  STRCMP_EQUAL("region", this->Choose().c_str());
  this->Load("region", 4);
  STRCMP_EQUAL("far", this->Choose().c_str());
  this->Load("far", 4);
  // With all levels full, the nearest one is chosen again.
  STRCMP_EQUAL("zone", this->Choose().c_str());
  this->Add("self", "r1", "z1");
  STRCMP_EQUAL("self", this->Choose().c_str());
}

// Guards against calls to members that are not ready or whose process was replaced, and against
// retries at the same gate while another one is ready.
TEST(Balancer, ReadyMembersOnlyAndUntriedOnesFirst) {
  STRCMP_EQUAL("", this->Choose().c_str());
  this->Add("a", "r1", "z1");
  this->Add("b", "r1", "z1", MemberState::kDraining);
  CHECK_EQUAL(50, this->Draw(50)["a"]);
  this->Add("b", "r1", "z1");
  STRCMP_EQUAL("b", this->Choose({"a"}).c_str());
  CHECK_FALSE(this->Choose({"a", "b"}).empty());
  this->balancer.OnProcessReplaced("a", 1);
  CHECK_EQUAL(50, this->Draw(50)["b"]);
}

// Guards against a split that ignores weights or labels, and against failed calls when the canary
// target has no backend servers.
TEST(Balancer, SplitFollowsWeightsAndLabels) {
  this->document.versions = {{"stable", {{{"release", "1"}}}}, {"canary", {{{"release", "2"}}}}};
  FindRoute(this->document, "read")->split = {{"fleet", "stable", 90}, {"fleet", "canary", 10}};
  this->routes.Set(this->document);
  this->Add("old", "r1", "z1", MemberState::kReady, {{"release", "1"}, {"other", "x"}});
  CHECK_EQUAL(500, this->Draw(500)["old"]);
  this->Add("new", "r1", "z1", MemberState::kReady, {{"release", "2"}});
  auto drawn = this->Draw(2'000);
  CHECK_TRUE(drawn["new"] > 140 && drawn["new"] < 260);
}

// Guards against a split to another service that is routed to the document's own service.
TEST(Balancer, SplitToAnotherService) {
  document::ServiceDocument other = FleetDocument();
  other.service = "dispatch";
  this->routes.Set(other);
  FindRoute(this->document, "read")->split = {{"dispatch", "all", 1}};
  this->Add("own", "r1", "z1");
  STRCMP_EQUAL("", this->Choose().c_str());
  Member member = *this->members.Find("own");
  member.id = "theirs";
  member.service = "dispatch";
  this->members.Set(member);
  STRCMP_EQUAL("theirs", this->Choose().c_str());
}

// Guards against calls to backend servers that this node has observed to be slow, busy or failing.
TEST(Balancer, ObservationsAffectChoiceWithinALevel) {
  for (const char* id : {"a", "b", "c", "d"}) {
    this->Add(id, "r1", "z1");
  }
  const auto end = [this](const std::string& id, AttemptOutcome outcome, utils::Duration latency) {
    this->balancer.OnSent(id, document::Priority::kNormal, this->now);
    this->balancer.OnEnded(id, 1, outcome, latency, this->now);
  };
  for (const char* id : {"a", "b", "c", "d"}) {
    end(id, AttemptOutcome::kAnswered, Milliseconds(id[0] == 'a' ? 50 : 5));
  }
  this->Load("b", 1);
  for (int i = 0; i < 4; ++i) {
    end("c", AttemptOutcome::kFailed, {});
  }
  auto drawn = this->Draw(1'200);
  CHECK_TRUE(drawn["a"] == 0);
  CHECK_TRUE(drawn["d"] > 500);
  CHECK_TRUE(drawn["c"] < drawn["b"]);
  // The failure score has decayed.
  this->now += Seconds(20);
  drawn = this->Draw(1'200);
  CHECK_TRUE(drawn["c"] > drawn["b"]);
  // The latency of the slow backend server has decayed, so it is tried again.
  this->now += Seconds(40);
  for (const char* id : {"b", "c", "d"}) {
    end(id, AttemptOutcome::kAnswered, Milliseconds(5));
  }
  CHECK_TRUE(this->Draw(1'200)["a"] > 0);
}

// Guards against a newly started backend server that gets its full share of calls at once.
TEST(Balancer, NewServersStartSlowly) {
  this->document.protection.slow_start = Seconds(10);
  this->routes.Set(this->document);
  for (const char* id : {"a", "b", "c", "d"}) {
    this->Add(id, "r1", "z1");
  }
  this->Draw(10);
  this->now += Seconds(60);
  this->Add("new", "r1", "z1");
  this->Draw(1);
  this->now += Seconds(2);
  const int early = this->Draw(1'000)["new"];
  this->now += Seconds(9);
  const int warm = this->Draw(1'000)["new"];
  CHECK_TRUE(early < 100);
  CHECK_TRUE(warm > 120);
}

// Guards against calls of a strict split that move to another target when theirs has no backend
// server.
TEST(Balancer, StrictSplitKeepsItsShares) {
  this->document.versions = {{"stable", {{{"release", "1"}}}}, {"canary", {{{"release", "2"}}}}};
  document::Route& route = *FindRoute(this->document, "read");
  route.split = {{"fleet", "stable", 50}, {"fleet", "canary", 50}};
  route.strict_split = true;
  this->routes.Set(this->document);
  this->Add("old", "r1", "z1", MemberState::kReady, {{"release", "1"}});
  const auto drawn = this->Draw(1'000);
  CHECK_TRUE(drawn.at("old") > 400 && drawn.at("old") < 600);
  CHECK_TRUE(drawn.at("") > 400);
}

// Guards against a retry that goes to another split target than the first attempt.
TEST(Balancer, RetriesKeepTheSplitTarget) {
  this->document.versions = {{"stable", {{{"release", "1"}}}}, {"canary", {{{"release", "2"}}}}};
  document::Route& route = *FindRoute(this->document, "read");
  route.split = {{"fleet", "stable", 50}, {"fleet", "canary", 50}};
  route.strict_split = true;
  this->routes.Set(this->document);
  this->Add("old", "r1", "z1", MemberState::kReady, {{"release", "1"}});
  this->Add("new", "r1", "z1", MemberState::kReady, {{"release", "2"}});
  const details::Context context{this->now, this->members, this->routes, this->effects,
                                 this->loopback};
  for (int i = 0; i < 50; ++i) {
    std::optional<std::size_t> target;
    const Member* first = this->balancer.Choose(context, route, {}, target);
    const Member* second = this->balancer.Choose(context, route, {first->id}, target);
    STRCMP_EQUAL(first->id.c_str(), second->id.c_str());
  }
}

namespace {

Candidate MakeCandidate(const Member& member, Distance distance, std::uint32_t load,
                        double failure_score = 0.0) {
  Candidate candidate;
  candidate.member = &member;
  candidate.distance = distance;
  candidate.calls_ahead = load;
  candidate.latency_us = 100'000.0;
  candidate.failure_score = failure_score;
  return candidate;
}

}  // namespace

// Guards against calls that cross to another region although the local wait costs less, that wait
// locally although crossing costs less, and that stay at a failing server.
TEST(Balancer, ExpectedTimeWeighsDistanceAgainstWaiting) {
  Member member;
  member.slots = 10;
  utils::Random random(1);
  ExpectedTimePolicy policy(ExpectedTimePolicy::Costs{});
  const auto chosen = [&](std::uint32_t near_load, double near_faults) {
    const Candidate candidates[] = {MakeCandidate(member, Distance::kOtherRegion, 0),
                                    MakeCandidate(member, Distance::kZone, near_load, near_faults)};
    return candidates[policy.Choose(candidates, random)].distance;
  };
  CHECK_TRUE(chosen(0, 0.0) == Distance::kZone);
  CHECK_TRUE(chosen(9, 0.0) == Distance::kZone);
  CHECK_TRUE(chosen(20, 0.0) == Distance::kZone);
  CHECK_TRUE(chosen(30, 0.0) == Distance::kOtherRegion);
  CHECK_TRUE(chosen(0, 2.0) == Distance::kOtherRegion);
}

// Guards against calls to gates whose expected queueing time exceeds the latency budget.
TEST(Balancer, OverloadedServersAreNotChosen) {
  details::Balancer expected_time{
      this->shared, std::make_unique<ExpectedTimePolicy>(ExpectedTimePolicy::Costs{})};
  this->Add("zone", "r1", "z1");
  const details::Context context{this->now, this->members, this->routes, this->effects,
                                 this->loopback};
  for (int i = 0; i < 12; ++i) {
    expected_time.OnSent("zone", document::Priority::kNormal, this->now);
  }
  std::optional<std::size_t> target;
  const document::Route& route = *FindRoute(this->document, "read");
  POINTERS_EQUAL(nullptr, expected_time.Choose(context, route, {}, target, Milliseconds(100)));
  CHECK_TRUE(expected_time.WasOverloaded());
  CHECK_TRUE(expected_time.Choose(context, route, {}, target, Milliseconds(500)) != nullptr);
  CHECK_FALSE(expected_time.WasOverloaded());
}

// Guards against high-priority calls that are refused or moved because of queued calls of lower
// priority, which they overtake.
TEST(Balancer, LowPriorityQueueDoesNotBlockHighPriorityCalls) {
  details::Balancer expected_time{
      this->shared, std::make_unique<ExpectedTimePolicy>(ExpectedTimePolicy::Costs{})};
  this->Add("zone", "r1", "z1");
  const details::Context context{this->now, this->members, this->routes, this->effects,
                                 this->loopback};
  GateLoad load{4, {}};
  load.queued.back() = 40;
  expected_time.OnLoadReport("zone", load, this->now);
  std::optional<std::size_t> target;
  document::Route route = *FindRoute(this->document, "read");
  route.priority = document::Priority::kBatch;
  POINTERS_EQUAL(nullptr, expected_time.Choose(context, route, {}, target, Milliseconds(200)));
  route.priority = document::Priority::kInteractive;
  CHECK_TRUE(expected_time.Choose(context, route, {}, target, Milliseconds(200)) != nullptr);
}

// Guards against a backend server that gets more and more calls while it answers none.
TEST(Balancer, MissingRepliesCountAsFailures) {
  details::Balancer expected_time{
      this->shared, std::make_unique<ExpectedTimePolicy>(ExpectedTimePolicy::Costs{})};
  this->Add("zone", "r1", "z1");
  this->Add("far", "r2", "z9");
  const document::Route& route = *FindRoute(this->document, "read");
  const auto choose = [&] {
    const details::Context context{this->now, this->members, this->routes, this->effects,
                                   this->loopback};
    std::optional<std::size_t> target;
    return expected_time.Choose(context, route, {}, target)->id;
  };
  expected_time.OnSent("zone", document::Priority::kNormal, this->now);
  STRCMP_EQUAL("zone", choose().c_str());
  this->now += Seconds(1);
  STRCMP_EQUAL("far", choose().c_str());
  expected_time.OnLoadReport("zone", GateLoad{1, {}}, this->now);
  STRCMP_EQUAL("zone", choose().c_str());
}

// Guards against downloads that leave an overloaded zone although crossing costs several times
// their value, against small calls that are refused for the price of large ones, and against calls
// that stay in a zone whose gates cannot be reached.
TEST(Balancer, CrossingIsPaidOnlyForWhatItSaves) {
  ExpectedTimePolicy::Costs costs;
  costs.cross_region_per_kb = Milliseconds(20);
  details::Balancer priced{this->shared, std::make_unique<ExpectedTimePolicy>(costs)};
  const details::Context context{this->now, this->members, this->routes, this->effects,
                                 this->loopback};
  this->Add("near", "r1", "z1");
  this->Add("far", "r2", "z2");
  document::Route small = *FindRoute(this->document, "read");
  small.target_latency = Milliseconds(500);
  document::Route bulk = *FindRoute(this->document, "write");
  bulk.target_latency = Milliseconds(1'500);
  for (int i = 0; i < 20; ++i) {
    priced.OnAnswer("near", "fleet", details::RouteKeyOf(small), Milliseconds(100), 100);
    priced.OnAnswer("near", "fleet", details::RouteKeyOf(bulk), Milliseconds(100), 90'000);
  }
  GateLoad full{4, {}, {}, {}, {}};
  full.wait_ms.fill(5'000);
  priced.OnLoadReport("near", full, this->now);
  priced.OnLoadReport("far", GateLoad{}, this->now);
  const auto choose = [&](const document::Route& route, const std::vector<std::string>& tried) {
    std::optional<std::size_t> target;
    const Member* chosen = priced.Choose(context, route, tried, target, route.target_latency);
    return chosen == nullptr ? std::string() : chosen->id;
  };
  STRCMP_EQUAL("far", choose(small, {}).c_str());
  STRCMP_EQUAL("", choose(bulk, {}).c_str());
  CHECK_TRUE(priced.WasOverloaded());
  STRCMP_EQUAL("", choose(bulk, {"near"}).c_str());
  ServiceCounters& counters = this->shared.counters.services["fleet"];
  CHECK_EQUAL(2, counters.refused_crossing);
  priced.CountAnswer(context, "near", "fleet", 300);
  priced.CountAnswer(context, "far", "fleet", 500);
  CHECK_TRUE((counters.answered == std::array<std::uint64_t, kPlaces>{0, 1, 0, 1}));
  CHECK_TRUE((counters.bytes == std::array<std::uint64_t, kPlaces>{0, 300, 0, 500}));
  bulk.priority = document::Priority::kInternal;
  STRCMP_EQUAL("far", choose(bulk, {}).c_str());
  bulk.priority = document::Priority::kInteractive;
  // A refusal that says nothing about load is tried again at home.
  priced.OnLoadReport("near", GateLoad{}, this->now);
  STRCMP_EQUAL("near", choose(bulk, {"near"}).c_str());
  for (int i = 0; i < 3; ++i) {
    priced.OnSent("near", document::Priority::kNormal, this->now);
    priced.OnEnded(
        "near", 1,
        priced.OutcomeOf("near", document::Priority::kNormal, utils::ErrorCode::kGateUnreachable),
        {}, this->now);
  }
  STRCMP_EQUAL("far", choose(bulk, {}).c_str());
}

// Guards against slow servers that get as many calls as fast ones while those have free slots, that
// never get another call, or that drive calls out of the zone; against all calls at the fastest
// one; and against an own instance that is preferred although it is slow.
TEST(Balancer, FastServersOfTheZoneComeFirst) {
  details::Balancer balancer{this->shared,
                             std::make_unique<ExpectedTimePolicy>(ExpectedTimePolicy::Costs{})};
  const document::Route& route = *FindRoute(this->document, "read");
  for (const char* id : {"fast", "usual", "other", "slow"}) {
    this->Add(id, "r1", "z1");
  }
  this->Add("region", "r1", "z2");
  const auto report = [&](const std::string& id, std::uint32_t time_ms) {
    balancer.OnAnswer(id, "fleet", details::RouteKeyOf(route), Milliseconds(100), 100);
    balancer.OnRunTime(id, "fleet", details::RouteKeyOf(route), time_ms * 1'000, this->now);
    balancer.OnLoadReport(id, GateLoad{}, this->now);
  };
  const auto draw = [&](utils::Duration max_wait = Seconds(5)) {
    const details::Context context{this->now, this->members, this->routes, this->effects,
                                   this->loopback};
    std::map<std::string, int> drawn;
    for (int i = 0; i < 1'000; ++i) {
      std::optional<std::size_t> target;
      ++drawn[balancer.Choose(context, route, {}, target, max_wait)->id];
    }
    return drawn;
  };
  // The mean of the service settles at 100 ms.
  for (int i = 0; i < 200; ++i) {
    report(i % 2 == 0 ? "usual" : "other", 100);
  }
  report("region", 100);
  report("slow", 500);
  report("usual", 100);
  report("fast", 50);
  auto drawn = draw();
  CHECK_TRUE(drawn["fast"] > drawn["usual"] && drawn["usual"] > 100 && drawn["other"] > 100);
  CHECK_TRUE(drawn["slow"] < 20);
  CHECK_EQUAL(0, drawn["region"]);
  // Long queues at the others make the slow one worth its time, but no call leaves.
  GateLoad queues{8, {}, {}, {}, {}};
  queues.wait_ms.fill(1'000);
  for (const char* id : {"fast", "usual", "other", "region"}) {
    balancer.OnLoadReport(id, queues, this->now);
  }
  CHECK_EQUAL(1'000, draw()["slow"]);
  // A target that the slow one does not meet lets calls leave for one that does.
  balancer.OnLoadReport("region", GateLoad{}, this->now);
  CHECK_EQUAL(1'000, draw(Milliseconds(300))["region"]);
  // Without reports it is tried again after some seconds.
  this->now += Seconds(7);
  CHECK_TRUE(draw()["slow"] > 100);
  // The own instance.
  this->Add("self", "r1", "z1");
  report("self", 100);
  report("usual", 100);
  CHECK_EQUAL(1'000, draw()["self"]);
  report("self", 200);
  CHECK_TRUE(draw()["self"] < 100);
}

}  // namespace amaranthlatch::calls::testing
