// Measurements of the policies for calls.

#include "tools/measure/policies.h"

#include <algorithm>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tools/measure/load.h"

namespace amaranthlatch::tools {

namespace {

constexpr char kHost[] = "service-1.example";
constexpr std::chrono::milliseconds kStopTimeout{5'000};
constexpr std::chrono::milliseconds kDrainLimit{3'000};
constexpr std::chrono::milliseconds kSampleInterval{10};

std::vector<std::string> DataAddresses(Deployment& deployment) {
  std::vector<std::string> addresses;
  for (const NodeProcess& node : deployment.Nodes()) {
    addresses.push_back(node.DataAddress());
  }
  return addresses;
}

LoadOptions PlanLoad(Deployment& deployment, CallKind kind, double rate,
                     const std::string& prefix) {
  LoadOptions load;
  load.addresses = DataAddresses(deployment);
  load.host = kHost;
  load.kind = kind;
  load.calls_per_second = rate;
  load.key_prefix = prefix;
  return load;
}

NodeProcess& FirstServer(Deployment& deployment) { return deployment.Nodes().front(); }

std::uint64_t TotalRuns(const NodeProcess& node) {
  const HttpReply reply = Fetch({.url = "http://" + node.BackendAddress() + "/stand-in/runs",
                                 .timeout = std::chrono::milliseconds(500)});
  const auto body = nlohmann::json::parse(reply.body, nullptr, false);
  return body.is_object() ? body.value("total", std::uint64_t{0}) : 0;
}

void SetBackendFaults(const NodeProcess& node, const nlohmann::json& faults) {
  Fetch({.method = "POST",
         .url = "http://" + node.BackendAddress() + "/stand-in/faults",
         .headers = {"Content-Type: application/json"},
         .body = faults.dump()});
}

void AddViolations(const std::vector<std::string>& texts, Report& report) {
  for (const std::string& text : texts) {
    report.AddViolation(text);
  }
}

}  // namespace

utils::Result<void> DrainScenario::Run(const ScenarioOptions& options, Report& report) {
  auto started = StartDeployment(options, true);
  if (!started) {
    return tl::unexpected(started.error());
  }
  Deployment& deployment = **started;
  LoadOptions plan = PlanLoad(deployment, CallKind::kOnce, 400, "drain");
  // Two callers for each node, so that each node is an entry while it leaves.
  plan.threads = static_cast<std::uint32_t>(deployment.Nodes().size()) * 2;
  Load load(std::move(plan));
  std::this_thread::sleep_for(options.duration / 4);

  NodeProcess& leaving = FirstServer(deployment);
  const auto start = std::chrono::steady_clock::now();
  leaving.backend_server->Terminate();
  std::uint64_t seen = TotalRuns(leaving);
  auto last_new_work = start;
  while (leaving.backend_server->Running() &&
         std::chrono::steady_clock::now() < start + kDrainLimit * 2) {
    const std::uint64_t runs = TotalRuns(leaving);
    if (runs > seen) {
      seen = runs;
      last_new_work = std::chrono::steady_clock::now();
    }
    std::this_thread::sleep_for(kSampleInterval);
  }
  const auto time_to_last = last_new_work - start;
  // A node that is an entry for callers leaves as well.
  deployment.Nodes().back().node->Terminate();
  if (!deployment.Nodes().back().node->WaitFor(kStopTimeout)) {
    report.AddViolation("a node did not end its drain");
  }
  std::this_thread::sleep_for(options.duration / 4);
  const LoadResult result = load.Stop();
  report.Add("time to last new work",
             std::chrono::duration<double, std::milli>(time_to_last).count(), "ms, limit 3000");
  report.Add("calls answered", static_cast<double>(result.answered), "calls");
  report.Add("calls not run", static_cast<double>(result.not_run), "calls");
  report.Add("connections refused by the ended node", static_cast<double>(result.refused), "calls");
  report.Add("calls cut (unknown or no answer)", static_cast<double>(result.unknown + result.lost),
             "calls, limit 0");
  if (time_to_last > kDrainLimit) {
    report.AddViolation("new work later than 3 s after the leave");
  }
  if (result.unknown + result.lost > 0) {
    report.AddViolation("a graceful shutdown cut calls, codes " + result.CodesText());
  }
  AddViolations(CheckRuns(result, deployment.Runs(), CallKind::kOnce), report);
  deployment.Stop(kStopTimeout);
  return {};
}

utils::Result<void> PoisonScenario::Run(const ScenarioOptions& options, Report& report) {
  auto started = StartDeployment(options, true);
  if (!started) {
    return tl::unexpected(started.error());
  }
  Deployment& deployment = **started;
  Load innocents(PlanLoad(deployment, CallKind::kRead, 100, "innocent"));
  std::uint32_t crashes = 0;
  std::map<std::string, std::uint32_t> codes;
  const auto end = std::chrono::steady_clock::now() + options.duration;
  for (std::size_t i = 0; std::chrono::steady_clock::now() < end; ++i) {
    const NodeProcess& entry = deployment.Nodes()[i % deployment.Nodes().size()];
    const HttpReply reply =
        Fetch({.method = "POST",
               .url = "http://" + entry.DataAddress() + "/once/poison",
               .headers = {std::string("Host: ") + kHost, "X-Crash: 1", "X-Request-Key: poison"},
               .body = "crash"});
    codes[reply.Header("amaranthlatch-code")] += 1;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    for (NodeProcess& node : deployment.Nodes()) {
      if (!node.backend_server->Running()) {
        crashes += 1;
        deployment.StartBackendServer(node);
      }
    }
  }
  const LoadResult result = innocents.Stop();
  report.Add("crashes", crashes, "limit 2");
  for (const auto& [code, count] : codes) {
    report.Add("poisoned requests answered with code " + code, count, "calls");
  }
  report.Add("other calls answered", static_cast<double>(result.answered), "calls");
  report.Add("other calls failed", static_cast<double>(result.Total() - result.answered), "calls");
  if (crashes > 2) {
    report.AddViolation(std::to_string(crashes) + " crashes by one request");
  }
  if (!codes.contains("5014")) {
    report.AddViolation("the request was never quarantined");
  }
  deployment.Stop(kStopTimeout);
  return {};
}

utils::Result<void> OverloadScenario::Run(const ScenarioOptions& options, Report& report) {
  ScenarioOptions one_service = options;
  one_service.services = 1;
  auto started = StartDeployment(one_service, true);
  if (!started) {
    return tl::unexpected(started.error());
  }
  Deployment& deployment = **started;
  constexpr std::uint32_t kWorkMs = 40;
  for (const NodeProcess& node : deployment.Nodes()) {
    SetBackendFaults(node, {{"work_ms", kWorkMs}});
  }
  const double capacity = static_cast<double>(deployment.Nodes().size()) * 20.0 * 1000.0 / kWorkMs;
  report.Add("capacity of the slots", capacity, "calls/s");
  double peak = 0;
  for (const double factor : {0.5, 1.0, 2.0, 5.0}) {
    LoadOptions load =
        PlanLoad(deployment, CallKind::kRead, capacity * factor, "load" + std::to_string(factor));
    // A thread has one call at a time; enough of them keep the rate while calls wait.
    load.threads = static_cast<std::uint32_t>(std::min(600.0, capacity * factor / 4));
    const LoadResult result = Load::RunFor(load, options.duration / 4);
    const double goodput = static_cast<double>(result.answered) / result.seconds;
    const std::string suffix = " at " + std::to_string(factor).substr(0, 3) + "x";
    report.Add("offered" + suffix, static_cast<double>(result.Total()) / result.seconds, "calls/s");
    report.Add("goodput" + suffix, goodput, "calls/s");
    report.Add("answered p99" + suffix, Percentile(result.latencies_ms, 0.99), "ms");
    peak = std::max(peak, goodput);
    if (goodput < peak / 2) {
      report.AddViolation("goodput fell below half of its peak" + suffix);
    }
  }
  deployment.Stop(kStopTimeout);
  return {};
}

utils::Result<void> SilentScenario::Run(const ScenarioOptions& options, Report& report) {
  auto started = StartDeployment(options, true);
  if (!started) {
    return tl::unexpected(started.error());
  }
  Deployment& deployment = **started;
  Load reads(PlanLoad(deployment, CallKind::kRead, 200, "read"));
  std::this_thread::sleep_for(options.duration / 4);
  SetBackendFaults(FirstServer(deployment), {{"silence_open_connections", true}});
  std::this_thread::sleep_for(options.duration / 4);
  const std::uint64_t before = TotalRuns(FirstServer(deployment));
  std::this_thread::sleep_for(options.duration / 2);
  const std::uint64_t after = TotalRuns(FirstServer(deployment));
  const LoadResult result = reads.Stop();
  report.Add("reads answered", static_cast<double>(result.answered), "calls");
  report.Add("reads failed", static_cast<double>(result.Total() - result.answered), "calls");
  report.Add("slowest read", result.latencies_ms.empty() ? 0 : result.latencies_ms.back(), "ms");
  report.Add("runs on new connections of that server", static_cast<double>(after - before),
             "calls");
  if (after == before) {
    report.AddViolation("the server got no work again though new connections work");
  }
  AddViolations(CheckRuns(result, deployment.Runs(), CallKind::kRead), report);
  deployment.Stop(kStopTimeout);
  return {};
}

}  // namespace amaranthlatch::tools
