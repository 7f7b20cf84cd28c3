#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>

#include "quota_mesh.h"
namespace amaranthlatch::quota::testing {
using utils::Milliseconds;
using utils::Seconds;
TEST_GROUP(Service){};

void Print(const char* name, QuotaMesh& mesh, double seconds) {
  auto outcomes = mesh.TakeOutcomes();
  Outcome total;
  for (auto& [w, o] : outcomes) {
    total.offered += o.offered;
    total.admitted += o.admitted;
    total.refused += o.refused;
    total.waited += o.waited;
    total.longest_wait = std::max(total.longest_wait, o.longest_wait);
    if (o.refused > 0 && getenv("V"))
      printf("   %s offered %lu refused %lu waited %lu longest %ld\n", w.c_str(), o.offered,
             o.refused, o.waited, o.longest_wait.count());
  }
  double n = mesh.nodes.size();
  printf(
      "%s: offered %lu admitted %lu (%.1f/s) refused %.4f waited %.4f longest %ld us; per node "
      "%.1f msg/s %.0f B/s worst %.3f\n",
      name, total.offered, total.admitted, total.admitted / seconds,
      double(total.refused) / total.offered, double(total.waited) / total.offered,
      total.longest_wait.count(), mesh.messages / n / seconds, mesh.bytes / n / seconds,
      mesh.WorstWindow());
  mesh.messages = mesh.bytes = 0;
}

TEST(Service, Calm) {
  for (int seed = 1; seed <= 3; ++seed) {
    QuotaMesh mesh(seed, 6, 75, {});
    Limits limits;
    std::vector<Load> loads;
    for (int i = 0; i < 80; ++i) {
      double rate = std::max(1.0, 600.0 / (1 + i));
      if (i >= 60) rate = 1 + (i - 60) / 5;
      std::string name = "workspace-" + std::to_string(i);
      limits[name] = Limit{rate, std::max(2.0, rate)};
      Load l{name, 0.6 * rate, {}};
      if (i < 60)
        for (int k = 0; k < 1 + int(mesh.random.Uniform(8)); ++k)
          l.nodes.push_back(mesh.random.Uniform(75));
      loads.push_back(l);
    }
    mesh.SetLimits(limits);
    mesh.Run(Seconds(4));
    mesh.SetLoads(loads);
    mesh.Run(Seconds(2));
    Print("warm", mesh, 2);
    mesh.Run(Seconds(20));
    Print("calm", mesh, 20);
    // hot
    for (int i = 5; i < 8; ++i) loads[i].rate *= 7;
    mesh.SetLoads(loads);
    mesh.Run(Seconds(8));
    Print("hot", mesh, 8);
  }
}
TEST(Service, Single) {
  for (double burst : {0.0, 0.1, 1.0})
    for (double rate : {20.0, 100.0, 600.0})
      for (int zones : {3, 9}) {
        QuotaMesh mesh(7, zones, zones * 10, {});
        mesh.SetLimits({{"w", {rate, burst * rate}}});
        mesh.Run(Seconds(4));
        mesh.SetLoads({{"w", rate * 1.3, {4}}});
        mesh.Run(Seconds(3));
        mesh.TakeOutcomes();
        mesh.Run(Seconds(20));
        printf("burst %.1f rate %.0f zones %d ", burst, rate, zones);
        Print("single", mesh, 20);
        mesh.SetLoads({{"w", rate * 1.3, {2, 2 + 3ul * zones}}});
        mesh.Run(Milliseconds(1500));
        mesh.TakeOutcomes();
        mesh.Run(Seconds(2));
        Print("   moved", mesh, 2);
        mesh.SetLoads({{"w", rate * 1.0, {}}});
        mesh.Run(Milliseconds(1500));
        mesh.TakeOutcomes();
        mesh.Run(Seconds(10));
        Print("   spread", mesh, 10);
      }
}
}  // namespace amaranthlatch::quota::testing
