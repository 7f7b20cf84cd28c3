// Convergence time and control bytes of configuration changes.

#include "tools/measure/convergence.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <map>
#include <sstream>
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
  double log_reads = 0;
  double log_bytes = 0;
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
  const auto log = nlohmann::json::parse(
      Fetch({.url = "http://" + deployment.LogAddress() + "/counters"}).body, nullptr, false);
  totals.log_reads = log.is_object() ? log.value("reads", 0.0) : 0;
  totals.log_bytes = log.is_object() ? log.value("bytes_read", 0.0) : 0;
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
  report.Add("idle reads of the log, all nodes", (after.log_reads - before.log_reads) / seconds,
             "1/s");
  report.Add("idle processor time per node",
             (after.cpu_seconds - before.cpu_seconds) / nodes / seconds * 100.0, "% of a core");
  report.Add("resident memory per node", after.resident_bytes / nodes / kBytesPerMegabyte, "MB");
}

// Milliseconds since 1970 of "2026-01-31T12:00:00.123Z"; 0 for other texts.
std::int64_t ParseWallTime(const std::string& text) {
  std::tm parts{};
  std::istringstream stream(text);
  int milliseconds = 0;
  char dot = 0;
  stream >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S") >> dot >> milliseconds;
  return stream ? std::int64_t{timegm(&parts)} * 1000 + milliseconds : 0;
}

std::int64_t WallTimeNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Times at which versions came into force, by the audit trails of all nodes, after their publish.
std::vector<double> InForceTimes(Deployment& deployment,
                                 const std::map<std::uint64_t, std::int64_t>& published) {
  std::vector<double> times_ms;
  for (const NodeProcess& node : deployment.Nodes()) {
    const HttpReply reply =
        Fetch({.url = "http://" + node.AdminAddress() + "/audit?service=service-1"});
    const auto body = nlohmann::json::parse(reply.body, nullptr, false);
    for (const auto& verdict : body.value("verdicts", nlohmann::json::array())) {
      const auto found = published.find(verdict.value("offset", std::uint64_t{0}));
      const std::int64_t at = ParseWallTime(verdict.value("in_force_at", std::string()));
      if (found != published.end() && at != 0) {
        times_ms.push_back(static_cast<double>(at - found->second));
      }
    }
  }
  std::sort(times_ms.begin(), times_ms.end());
  return times_ms;
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
  std::map<std::uint64_t, std::int64_t> published;
  std::uint64_t version = 1;
  const Totals before = TakeTotals(deployment);
  for (std::uint32_t i = 0; i < kChanges; ++i) {
    const std::int64_t start = WallTimeNow();
    const auto offset = deployment.Publish(MakeDocument(service, i + 2), version);
    if (!offset) {
      return tl::unexpected(offset.error());
    }
    version = *offset;
    if (!deployment.WaitInForce(*offset, kChangeTimeout)) {
      report.AddViolation("change " + std::to_string(*offset) + " not in force within 9 s");
    }
    published[*offset] = start;
  }
  const Totals after = TakeTotals(deployment);
  const std::vector<double> times_ms = InForceTimes(deployment, published);
  if (times_ms.size() < deployment.Nodes().size() * kChanges) {
    report.AddViolation("a node has no audit entry for a change");
  }
  report.Add("in force on a node p50", Percentile(times_ms, 0.5), "ms");
  report.Add("in force on a node p99", Percentile(times_ms, 0.99), "ms");
  report.Add("in force on the last node, slowest change", Percentile(times_ms, 1), "ms");
  report.Add("control bytes per change and node",
             (after.control_bytes - before.control_bytes) /
                 static_cast<double>(deployment.Nodes().size()) / kChanges,
             "B");
  report.Add("cross-region bytes per change",
             (after.cross_region_bytes - before.cross_region_bytes) / kChanges, "B");
  report.Add("reads of the log per change", (after.log_reads - before.log_reads) / kChanges, "");
  report.Add("bytes read from the log per change", (after.log_bytes - before.log_bytes) / kChanges,
             "B");
  deployment.Stop(std::chrono::milliseconds(5'000));
  return {};
}

}  // namespace amaranthlatch::tools
