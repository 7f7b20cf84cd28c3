// Added latency of calls.

#include "tools/measure/latency.h"

#include <string>
#include <vector>

#include "tools/measure/load.h"

namespace amaranthlatch::tools {

namespace {

constexpr double kCallsPerSecond = 400;
constexpr std::uint32_t kThreads = 4;
constexpr std::uint32_t kDepths[] = {1, 3, 9};
constexpr double kTargetAddedP99Ms = 1.8;
constexpr char kDirectPrefix[] = "direct";
constexpr char kHost[] = "service-1.example";

// The list of hops that the backend servers follow after the first one.
std::string Chain(const std::vector<std::string>& addresses, std::uint32_t depth) {
  std::string chain;
  for (std::uint32_t i = 1; i < depth; ++i) {
    chain += (i == 1 ? "" : ",") + addresses[i % addresses.size()];
  }
  return chain;
}

LoadOptions PlanLoad(const std::vector<std::string>& addresses, std::uint32_t depth,
                     const std::string& prefix) {
  LoadOptions load;
  load.addresses = addresses;
  load.host = kHost;
  load.threads = kThreads;
  load.calls_per_second = kCallsPerSecond / depth;
  load.key_prefix = prefix + std::to_string(depth);
  load.direct = prefix == kDirectPrefix;
  if (depth > 1) {
    load.headers.emplace_back("X-Chain: ").append(Chain(addresses, depth));
    load.headers.emplace_back("X-Chain-Host: ").append(kHost);
  }
  return load;
}

void ReportDepth(std::uint32_t depth, const LoadResult& direct, const LoadResult& mesh,
                 Report& report) {
  const std::string suffix = " at depth " + std::to_string(depth);
  const double direct_p50 = Percentile(direct.latencies_ms, 0.5);
  const double direct_p99 = Percentile(direct.latencies_ms, 0.99);
  const double mesh_p50 = Percentile(mesh.latencies_ms, 0.5);
  const double mesh_p99 = Percentile(mesh.latencies_ms, 0.99);
  report.Add("direct p50" + suffix, direct_p50, "ms");
  report.Add("direct p99" + suffix, direct_p99, "ms");
  report.Add("mesh p50" + suffix, mesh_p50, "ms");
  report.Add("mesh p99" + suffix, mesh_p99, "ms");
  report.Add("direct slowest" + suffix, Percentile(direct.latencies_ms, 1), "ms");
  report.Add("mesh slowest" + suffix, Percentile(mesh.latencies_ms, 1), "ms");
  report.Add("added p50" + suffix, mesh_p50 - direct_p50, "ms");
  report.Add("added p99" + suffix, mesh_p99 - direct_p99, "ms");
  report.Add("added p99 per level" + suffix, (mesh_p99 - direct_p99) / depth,
             "ms, target " + std::to_string(kTargetAddedP99Ms));
  if (mesh.answered < mesh.Total()) {
    report.AddViolation(std::to_string(mesh.Total() - mesh.answered) + " calls not answered" +
                        suffix + ": " + mesh.CodesText());
  }
}

void ReportThroughput(const std::vector<std::string>& addresses, Deployment& deployment,
                      std::chrono::milliseconds duration, Report& report) {
  LoadOptions load;
  load.addresses = addresses;
  load.host = kHost;
  load.threads = kThreads * 2;
  load.key_prefix = "throughput";
  const auto cpu = [&deployment] {
    double seconds = 0;
    for (const NodeProcess& node : deployment.Nodes()) {
      seconds += std::chrono::duration<double>(node.node->Usage().cpu).count();
    }
    return seconds;
  };
  const double before = cpu();
  const LoadResult result = Load::RunFor(load, duration);
  report.Add("closed-loop calls", static_cast<double>(result.answered) / result.seconds, "calls/s");
  report.Add("node processor time per call",
             (cpu() - before) / static_cast<double>(result.Total()) * 1e6, "us");
  for (const std::string& text : CheckRuns(result, deployment.Runs(), load.kind)) {
    report.AddViolation(text);
  }
}

}  // namespace

utils::Result<void> LatencyScenario::Run(const ScenarioOptions& options, Report& report) {
  auto started = StartDeployment(options, true);
  if (!started) {
    return tl::unexpected(started.error());
  }
  Deployment& deployment = **started;
  std::vector<std::string> mesh;
  std::vector<std::string> direct;
  for (const NodeProcess& node : deployment.Nodes()) {
    mesh.push_back(node.DataAddress());
    if (node.service.name == "service-1") {
      direct.push_back(node.BackendAddress());
    }
  }
  const auto duration = options.duration / (2 * static_cast<int>(std::size(kDepths)));
  for (const std::uint32_t depth : kDepths) {
    const LoadResult direct_result = Load::RunFor(PlanLoad(direct, depth, kDirectPrefix), duration);
    const LoadResult mesh_result = Load::RunFor(PlanLoad(mesh, depth, "mesh"), duration);
    ReportDepth(depth, direct_result, mesh_result, report);
  }
  report.Add("retries", deployment.SumMetric("amaranthlatch_call_retries_total"), "");
  report.Add("fences", deployment.SumMetric("amaranthlatch_call_fences_total"), "");
  report.Add("messages not sent", deployment.SumMetric("amaranthlatch_messages_not_sent_total"),
             "");
  ReportThroughput(mesh, deployment, duration, report);
  deployment.Stop(std::chrono::milliseconds(5'000));
  return {};
}

}  // namespace amaranthlatch::tools
