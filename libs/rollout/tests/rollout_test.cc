// Rollouts of good and bad versions on a healthy mesh.

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <utility>
#include <vector>

#include "rollout_mesh.h"

namespace amaranthlatch::rollout::testing {

namespace {

using utils::Milliseconds;
using utils::Seconds;

std::vector<std::pair<const char*, Fault>> BadVersions() {
  std::vector<std::pair<const char*, Fault>> result;
  Fault fails;
  fails.failure_share = 0.5;
  Fault slow;
  slow.slow_factor = 8.0;
  for (const auto& [name, kind] : {std::pair("fails", fails), std::pair("slow", slow)}) {
    result.emplace_back(name, kind);
    Fault late = kind;
    late.from = Seconds(3);
    result.emplace_back("late", late);
    Fault under_load = kind;
    under_load.min_running = 2;
    result.emplace_back("under load", under_load);
    Fault one_route = kind;
    one_route.route = "pay";
    result.emplace_back("one route", one_route);
  }
  return result;
}

}  // namespace

TEST_GROUP(Rollout){};

TEST(Rollout, Debug) {
  Setup setup;
  setup.mixed_speeds = true;
  setup.cold = Seconds(3);
  setup.service.failure_share = 0.3;
  setup.service.from = setup.duration / 3;
  setup.service.until = setup.duration * 6 / 10;
  Mesh mesh(setup);
  for (int i = 0; i < 24; ++i) {
    mesh.RunFor(Milliseconds(500));
    printf("%d exposure %lu/%lu", i * 500, mesh.exposure, mesh.calls);
    for (const auto& n : mesh.nodes)
      if (n.version == "2" && n.node_alive) {
        auto g = n.rollout->GetGauges();
        auto c = n.rollout->GetCounters();
        auto a = n.rollout->Admission(mesh.Now());
        printf(" [%lu/%lu %d%d exp %lu run %lu]", g.started, g.allowance, a.announce, a.accept,
               c.leases_expired, n.running);
      }
    printf("\n");
  }
}

TEST(Rollout, BadVersionsAreRolledBack) {
  for (const auto& [name, fault] : BadVersions()) {
    for (const double rate : {100.0, 200.0}) {
      for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        Setup setup;
        setup.seed = seed;
        setup.rate = rate;
        setup.bad_version = fault;
        Mesh mesh(setup);
        mesh.RunFor(setup.duration);
        const std::string problem = mesh.CheckBad();
        if (!problem.empty())
          printf("%s at %.0f: %s\n", name, rate, problem.c_str());
        else
          printf("%s at %.0f: exposure %lu of %lu bad %lu verdict at %ld ms %s\n", name, rate,
                 mesh.exposure, mesh.calls, mesh.bad_answers,
                 utils::ToMilliseconds(*mesh.verdict_at - mesh.ordered_at),
                 mesh.log.size() > 1 ? mesh.log[mesh.log.size() - 2].c_str() : "");
      }
    }
  }
}

TEST(Rollout, GoodVersionsComplete) {
  for (int kind = 0; kind < 7; ++kind) {
    for (const auto duration : {Seconds(4), Seconds(12), Seconds(60)}) {
      for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        Setup setup;
        setup.seed = seed;
        setup.duration = duration;
        setup.mixed_speeds = kind >= 1;
        setup.cold = kind >= 2 && duration > Seconds(4) ? Seconds(3) : Seconds(0);
        if (kind == 3) setup.service.failure_share = 0.1;
        if (kind == 4) setup.service.slow_factor = 5;
        if (kind == 5) {
          setup.service.slow_factor = 5;
          setup.service.from = duration / 3;
          setup.service.until = duration * 6 / 10;
        }
        if (kind == 6) {
          setup.service.failure_share = 0.3;
          setup.service.from = duration / 3;
          setup.service.until = duration * 6 / 10;
        }
        Mesh mesh(setup);
        mesh.RunFor(setup.duration);
        const std::string problem = mesh.CheckGood();
        if (!problem.empty() || (seed == 1))
          printf("kind %d %ld ms: %s %s\n", kind, utils::ToMilliseconds(duration), problem.c_str(),
                 mesh.Describe().c_str());
      }
    }
  }
}

}  // namespace amaranthlatch::rollout::testing
