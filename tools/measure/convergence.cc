// Convergence time and control bytes of configuration changes.

#include "tools/measure/convergence.h"

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

namespace amaranthlatch::tools {

namespace {

constexpr std::uint32_t kChanges = 20;
constexpr std::chrono::milliseconds kChangeTimeout{9'000};
constexpr double kBytesPerKilobyte = 1000.0;
constexpr double kBytesPerMegabyte = 1e6;

// Sums over all nodes at one moment.
struct Totals {
  double control_bytes = 0;
  double cross_region_bytes = 0;
  double cpu_seconds = 0;
  double resident_bytes = 0;
  std::chrono::steady_clock::time_point at;
};

Totals TakeTotals(Deployment& deployment) {
  Totals totals;
  totals.control_bytes = deployment.ControlBytes(false);
  totals.cross_region_bytes = deployment.ControlBytes(true);
  for (const NodeProcess& node : deployment.Nodes()) {
    const ProcessUsage usage = node.node->Usage();
    totals.cpu_seconds += std::chrono::duration<double>(usage.cpu).count();
    totals.resident_bytes += static_cast<double>(usage.resident_bytes);
  }
  totals.at = std::chrono::steady_clock::now();
  return totals;
}

void ReportIdle(Deployment& deployment, std::chrono::milliseconds duration, Report& report) {
  const auto nodes = static_cast<double>(deployment.Nodes().size());
  const Totals before = TakeTotals(deployment);
  std::this_thread::sleep_for(duration);
  const Totals after = TakeTotals(deployment);
  const double seconds = std::chrono::duration<double>(after.at - before.at).count();
  report.Add("idle control bytes per node",
             (after.control_bytes - before.control_bytes) / nodes / seconds / kBytesPerKilobyte,
             "KB/s");
  report.Add("idle cross-region bytes, all nodes",
             (after.cross_region_bytes - before.cross_region_bytes) / seconds / kBytesPerKilobyte,
             "KB/s");
  report.Add("idle processor time per node",
             (after.cpu_seconds - before.cpu_seconds) / nodes / seconds * 100.0, "% of a core");
  report.Add("resident memory per node", after.resident_bytes / nodes / kBytesPerMegabyte, "MB");
}

}  // namespace

utils::Result<void> ConvergenceScenario::Run(const ScenarioOptions& options, Report& report) {
  auto started = StartDeployment(options, false);
  if (!started) {
    return tl::unexpected(started.error());
  }
  Deployment& deployment = **started;
  report.Add("nodes", static_cast<double>(deployment.Nodes().size()), "");
  ReportIdle(deployment, options.duration, report);

  ServiceOptions service;
  service.name = "service-1";
  std::vector<double> times_ms;
  std::uint64_t version = 1;
  const Totals before = TakeTotals(deployment);
  for (std::uint32_t i = 0; i < kChanges; ++i) {
    const auto start = std::chrono::steady_clock::now();
    const auto offset = deployment.Publish(MakeDocument(service, i + 2), version);
    if (!offset) {
      return tl::unexpected(offset.error());
    }
    version = *offset;
    if (!deployment.WaitInForce(*offset, kChangeTimeout)) {
      report.AddViolation("change " + std::to_string(*offset) + " not in force within 9 s");
    }
    const auto elapsed = std::chrono::steady_clock::now() - start;
    times_ms.push_back(std::chrono::duration<double, std::milli>(elapsed).count());
  }
  const Totals after = TakeTotals(deployment);
  std::sort(times_ms.begin(), times_ms.end());
  report.Add("convergence p50", Percentile(times_ms, 0.5), "ms");
  report.Add("convergence p99", Percentile(times_ms, 0.99), "ms");
  report.Add("convergence max", times_ms.back(), "ms");
  report.Add("control bytes per change and node",
             (after.control_bytes - before.control_bytes) /
                 static_cast<double>(deployment.Nodes().size()) / kChanges,
             "B");
  report.Add("cross-region bytes per change",
             (after.cross_region_bytes - before.cross_region_bytes) / kChanges, "B");
  deployment.Stop(std::chrono::milliseconds(5'000));
  return {};
}

}  // namespace amaranthlatch::tools
