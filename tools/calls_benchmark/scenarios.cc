// Scenarios on the simulated mesh.

#include "scenarios.h"

#include <algorithm>
#include <string>
#include <vector>

#include "mesh.h"

namespace amaranthlatch::calls::benchmark {

namespace {
using nlohmann::json;
using testing::Backend;
using testing::BackendMode;
using testing::FleetDocument;
using testing::Mesh;
using utils::Duration;
using utils::Milliseconds;
using utils::Seconds;

constexpr std::size_t kNodes = 6;
constexpr Duration kRun = Seconds(20);
constexpr Duration kSettle = Seconds(5);
constexpr double kMicrosecondsPerSecond = 1e6;

struct Tally {
  int calls = 0;
  // Answered before the deadline.
  int good = 0;
  int not_run = 0;
  int unknown = 0;
  std::vector<double> latencies_ms;
};

Tally Count(const Mesh& mesh, const std::string& prefix = {}) {
  Tally tally;
  for (const auto& [call, outcome] : mesh.Outcomes()) {
    if (!outcome.body.starts_with(prefix)) {
      continue;
    }
    ++tally.calls;
    if (!outcome.answer) {
      continue;
    }
    const auto kind = outcome.answer->kind;
    tally.not_run += kind == ResultKind::kNotRun ? 1 : 0;
    tally.unknown += kind == ResultKind::kUnknown ? 1 : 0;
    if (kind == ResultKind::kAnswered && outcome.answer->response.status < 500) {
      ++tally.good;
      tally.latencies_ms.push_back(static_cast<double>((outcome.ended - outcome.sent).count()) /
                                   1'000.0);
    }
  }
  std::sort(tally.latencies_ms.begin(), tally.latencies_ms.end());
  return tally;
}

double Percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0.0;
  }
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(last * share)];
}

std::uint64_t Sum(const Mesh& mesh, std::uint64_t Counters::*counter) {
  std::uint64_t sum = 0;
  for (const testing::Node& node : mesh.nodes) {
    sum += node.calls->GetCounters().*counter;
  }
  return sum;
}

// Sends `per_second` calls on a route, evenly, through all nodes in turn.
void Offer(Mesh& mesh, double per_second, const std::string& path, const std::string& name) {
  const Duration step(static_cast<Duration::rep>(kMicrosecondsPerSecond / per_second));
  int number = 0;
  for (Duration at = step; at < kRun; at += step, ++number) {
    mesh.At(at, [&mesh, number, path, name] {
      mesh.Call(static_cast<std::size_t>(number) % kNodes, path, name + std::to_string(number));
    });
  }
}

struct Variant {
  std::string name;
  Options options;
  bool bounded = true;
};

std::vector<Variant> Variants() {
  std::vector<Variant> variants(5);
  variants[0].name = "all policies";
  variants[1].name = "without queue bounds and deadlines";
  variants[1].options.gate.bound_queue_by_deadline = false;
  variants[1].bounded = false;
  variants[2].name = "without adaptive limit";
  variants[2].options.gate.adaptive_limit = false;
  variants[3].name = "without retry budget";
  variants[3].options.entry.retry_budget = false;
  variants[4].name = "without any of the three";
  variants[4].options = variants[1].options;
  variants[4].options.gate.adaptive_limit = false;
  variants[4].options.entry.retry_budget = false;
  variants[4].bounded = false;
  return variants;
}

json GoodputAt(const Variant& variant, double load) {
  // Each server is at its best with 4 calls at a time of 20 ms and loses throughput above; the
  // document allows 12: a wrong estimate by its team.
  constexpr std::uint32_t kBest = 4;
  constexpr std::uint32_t kAllowed = 12;
  constexpr std::int64_t kServiceMs = 20;
  constexpr double kCapacity = kNodes * kBest * 1'000.0 / kServiceMs;
  Mesh mesh(kNodes, 1, variant.options);
  document::ServiceDocument document = FleetDocument();
  document.protection.slots = kAllowed;
  document.protection.queue_length = variant.bounded ? 100 : 1'000'000;
  testing::FindRoute(document, "read")->deadline = Milliseconds(1'000);
  mesh.routes.Set(document);
  for (std::size_t i = 0; i < kNodes; ++i) {
    Backend& backend = mesh.nodes[i].backend;
    backend.service_time = Milliseconds(kServiceMs);
    backend.comfortable = kBest;
    backend.slots = kAllowed;
    mesh.Publish(i, membership::MemberState::kReady);
    mesh.Deliver(i, BackendServerChanged{"fleet", kAllowed, true});
  }
  Offer(mesh, kCapacity * load, "/read", "r");
  mesh.RunFor(kRun + kSettle);
  const Tally tally = Count(mesh);
  const double seconds = static_cast<double>(kRun.count()) / kMicrosecondsPerSecond;
  return {{"variant", variant.name},
          {"load", load},
          {"offered_per_s", kCapacity * load},
          {"goodput_of_capacity", tally.good / seconds / kCapacity},
          {"p50_ms", Percentile(tally.latencies_ms, 0.5)},
          {"p99_ms", Percentile(tally.latencies_ms, 0.99)},
          {"not_run", tally.not_run},
          {"unknown", tally.unknown},
          {"runs", Sum(mesh, &Counters::runs)},
          {"retries", Sum(mesh, &Counters::retries)}};
}
}  // namespace

json MeasureGoodput() {
  json rows = json::array();
  for (const Variant& variant : Variants()) {
    for (const double load : {0.5, 1.0, 2.0, 5.0, 10.0}) {
      rows.push_back(GoodputAt(variant, load));
    }
  }
  return rows;
}

json MeasureOutage() {
  json rows = json::array();
  for (const bool budget : {true, false}) {
    Options options;
    options.entry.retry_budget = budget;
    Mesh mesh(kNodes, 1, options);
    for (std::size_t i = 0; i < kNodes; ++i) {
      mesh.KillBackend(i);
    }
    Offer(mesh, 600.0, "/read", "r");
    mesh.RunFor(kRun + kSettle);
    const Tally tally = Count(mesh);
    const auto attempts = static_cast<double>(Sum(mesh, &Counters::attempts));
    rows.push_back({{"retry_budget", budget},
                    {"calls", tally.calls},
                    {"attempts_per_call", attempts / tally.calls},
                    {"not_run", tally.not_run}});
  }
  return rows;
}

json MeasureStarvation() {
  json rows = json::array();
  for (const std::uint32_t interval : {16U, 1'000'000'000U}) {
    Options options;
    options.gate.fairness_interval = interval;
    Mesh mesh(kNodes, 1, options);
    document::ServiceDocument document = FleetDocument();
    document.protection.queue_time = Seconds(10);
    document.protection.max_attempts = 1;
    for (const char* name : {"batch", "read"}) {
      testing::FindRoute(document, name)->deadline = Seconds(10);
    }
    mesh.routes.Set(document);
    // 4 slots with 5 ms each: 800 calls a second and node; offered is 1.5 times as much.
    Offer(mesh, 1.5 * 800.0 * kNodes, "/read", "r");
    Offer(mesh, 0.02 * 800.0 * kNodes, "/batch", "b");
    mesh.RunFor(kRun + kSettle);
    const Tally batch = Count(mesh, "b");
    rows.push_back({{"fairness_interval", interval},
                    {"batch_calls", batch.calls},
                    {"batch_answered", batch.good},
                    {"batch_p99_ms", Percentile(batch.latencies_ms, 0.99)},
                    {"interactive_answered", Count(mesh, "r").good}});
  }
  return rows;
}

json MeasureMixed() {
  // Calls of 5 ms, a tenth of them of 50 ms, on servers that use all of their 12 slots well: mean
  // 9.5 ms, 1,263 calls a second and server.
  json rows = json::array();
  for (const bool adaptive : {true, false}) {
    for (const double load : {0.7, 0.9, 1.5}) {
      Options options;
      options.gate.adaptive_limit = adaptive;
      Mesh mesh(kNodes, 1, options);
      document::ServiceDocument document = FleetDocument();
      document.protection.slots = 12;
      mesh.routes.Set(document);
      for (std::size_t i = 0; i < kNodes; ++i) {
        mesh.nodes[i].backend.slots = 12;
        mesh.nodes[i].backend.heavy_share = 0.1;
        mesh.Publish(i, membership::MemberState::kReady);
        mesh.Deliver(i, BackendServerChanged{"fleet", 12, true});
      }
      Offer(mesh, load * 1'263.0 * kNodes, "/read", "r");
      mesh.RunFor(kRun + kSettle);
      const Tally tally = Count(mesh);
      rows.push_back({{"adaptive_limit", adaptive},
                      {"load", load},
                      {"goodput_of_offered", static_cast<double>(tally.good) / tally.calls},
                      {"p50_ms", Percentile(tally.latencies_ms, 0.5)},
                      {"p99_ms", Percentile(tally.latencies_ms, 0.99)}});
    }
  }
  return rows;
}

json MeasureCrashes() {
  json rows = json::array();
  for (const bool quarantine : {true, false}) {
    Options options;
    if (!quarantine) {
      // Suspicions end before anyone could meet them.
      options.quarantine.duration = Duration(1);
    }
    Mesh mesh(kNodes, 1, options);
    Offer(mesh, 300.0, "/read", "innocent ");
    for (int i = 0; i < 40; ++i) {
      mesh.At(Milliseconds(200) * i,
              [&mesh, i] { mesh.Call(static_cast<std::size_t>(i) % kNodes, "/read", "poison"); });
      mesh.At(Milliseconds(200) * i + Milliseconds(150), [&mesh] {
        for (std::size_t node = 0; node < kNodes; ++node) {
          if (mesh.nodes[node].backend.mode == BackendMode::kDead) {
            mesh.StartBackend(node);
          }
        }
      });
    }
    mesh.RunFor(kRun + kSettle);
    const Tally innocent = Count(mesh, "innocent ");
    rows.push_back({{"quarantine", quarantine},
                    {"poisoned_calls", Count(mesh, "poison").calls},
                    {"deaths", mesh.deaths},
                    {"innocent_calls", innocent.calls},
                    {"innocent_answered", innocent.good}});
  }
  return rows;
}

json MeasureBalance() {
  json rows = json::array();
  for (const bool power_of_two : {true, false}) {
    Mesh mesh(kNodes, 1);
    for (std::size_t i = 0; i < kNodes && !power_of_two; ++i) {
      mesh.SetPolicy(i, std::make_unique<RandomPolicy>());
    }
    document::ServiceDocument document = FleetDocument();
    document.locality.prefer = document::LocalityPreference::kNone;
    mesh.routes.Set(document);
    mesh.nodes[0].backend.service_time = Milliseconds(50);
    Offer(mesh, 1'200.0, "/read", "r");
    mesh.RunFor(kRun + kSettle);
    const Tally tally = Count(mesh);
    const auto slow = static_cast<double>(mesh.nodes[0].calls->GetCounters().runs);
    rows.push_back({{"policy", power_of_two ? "power of two choices" : "random"},
                    {"share_of_slow_server", slow / tally.calls},
                    {"answered", tally.good},
                    {"calls", tally.calls},
                    {"p50_ms", Percentile(tally.latencies_ms, 0.5)},
                    {"p99_ms", Percentile(tally.latencies_ms, 0.99)}});
  }
  return rows;
}

}  // namespace amaranthlatch::calls::benchmark
