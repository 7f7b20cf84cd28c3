// A whole zone that stops and comes back.

#include "tools/measure/zone_pause.h"

#include <string>
#include <thread>
#include <vector>

#include "tools/measure/load.h"

namespace amaranthlatch::tools {

namespace {

constexpr std::chrono::milliseconds kConvergenceTarget{9'000};
constexpr std::chrono::milliseconds kStopTimeout{5'000};
constexpr double kCallsPerSecond = 200;

std::vector<NodeProcess*> NodesOfZone(Deployment& deployment, const std::string& zone) {
  std::vector<NodeProcess*> nodes;
  for (NodeProcess& node : deployment.Nodes()) {
    if (node.zone == zone) {
      nodes.push_back(&node);
    }
  }
  return nodes;
}

}  // namespace

utils::Result<void> ZonePauseScenario::Run(const ScenarioOptions& options, Report& report) {
  auto started = StartDeployment(options, true);
  if (!started) {
    return tl::unexpected(started.error());
  }
  Deployment& deployment = **started;
  const std::string zone = deployment.Nodes().back().zone;
  const std::vector<NodeProcess*> paused = NodesOfZone(deployment, zone);
  LoadOptions plan;
  for (const NodeProcess& node : deployment.Nodes()) {
    if (node.zone != zone) {
      plan.addresses.push_back(node.DataAddress());
    }
  }
  plan.host = "service-1.example";
  plan.kind = CallKind::kOnce;
  plan.calls_per_second = kCallsPerSecond;
  plan.key_prefix = "once";
  Load load(std::move(plan));
  std::this_thread::sleep_for(options.duration / 4);
  for (NodeProcess* node : paused) {
    node->node->Pause();
    node->backend_server->Pause();
  }
  std::this_thread::sleep_for(options.duration / 4);
  ServiceOptions service;
  service.name = "service-1";
  const auto offset = deployment.Publish(MakeDocument(service, 2), 1);
  std::this_thread::sleep_for(options.duration / 4);
  for (NodeProcess* node : paused) {
    node->backend_server->Resume();
    node->node->Resume();
  }
  const auto resumed = std::chrono::steady_clock::now();
  if (!offset || !deployment.WaitInForce(*offset, kConvergenceTarget)) {
    report.AddViolation("the zone did not catch up within 9 s");
  }
  const auto elapsed = std::chrono::steady_clock::now() - resumed;
  report.Add("time until the zone has caught up",
             std::chrono::duration<double, std::milli>(elapsed).count(), "ms");
  if (!deployment.WaitMembers(deployment.Nodes().size(), kConvergenceTarget)) {
    report.AddViolation("not all nodes list all members 9 s after the zone's return");
  }
  const LoadResult result = load.Stop();
  report.Add("calls answered", static_cast<double>(result.answered), "calls");
  report.Add("calls not run", static_cast<double>(result.not_run), "calls");
  report.Add("calls unknown", static_cast<double>(result.unknown), "calls");
  report.Add("members declared dead",
             deployment.SumMetric("amaranthlatch_members_declared_dead_total"), "");
  for (const std::string& text : CheckRuns(result, deployment.Runs(), CallKind::kOnce)) {
    report.AddViolation(text);
  }
  if (result.answered == 0) {
    report.AddViolation("no call was answered outside the stopped zone");
  }
  deployment.Stop(kStopTimeout);
  return {};
}

}  // namespace amaranthlatch::tools
