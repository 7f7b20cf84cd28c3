// Measurements of recovery.

#include "tools/measure/recovery.h"

#include <string>
#include <vector>

namespace amaranthlatch::tools {

namespace {

constexpr std::chrono::milliseconds kReturnTimeout{30'000};
constexpr std::chrono::milliseconds kConvergenceTarget{9'000};
constexpr std::chrono::milliseconds kStopTimeout{5'000};
constexpr std::uint32_t kHistory = 50;

double MillisecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
      .count();
}

// Publishes a few versions, so that a returning node has something to fetch.
utils::Result<std::uint64_t> PublishHistory(Deployment& deployment) {
  ServiceOptions service;
  service.name = "service-1";
  std::uint64_t version = 1;
  for (std::uint32_t i = 0; i < kHistory; ++i) {
    auto offset = deployment.Publish(MakeDocument(service, i + 2), version);
    if (!offset) {
      return offset;
    }
    version = *offset;
  }
  return version;
}

utils::Result<std::uint64_t> PublishChange(Deployment& deployment, std::uint64_t base) {
  ServiceOptions service;
  service.name = "service-1";
  return deployment.Publish(MakeDocument(service, kHistory + 2), base);
}

}  // namespace

utils::Result<void> HerdScenario::Run(const ScenarioOptions& options, Report& report) {
  auto started = StartDeployment(options, false);
  if (!started) {
    return tl::unexpected(started.error());
  }
  Deployment& deployment = **started;
  const auto version = PublishHistory(deployment);
  if (!version || !deployment.WaitInForce(*version, kConvergenceTarget)) {
    return utils::Fail(utils::ErrorCode::kNotReady, "the history is not in force");
  }
  std::vector<NodeProcess*> killed;
  for (std::size_t i = 0; i < deployment.Nodes().size(); ++i) {
    if (i % 3 != 0) {
      killed.push_back(&deployment.Nodes()[i]);
    }
  }
  for (NodeProcess* node : killed) {
    node->node->Kill();
  }
  const double bytes_before = deployment.ControlBytes(false);
  const auto start = std::chrono::steady_clock::now();
  for (NodeProcess* node : killed) {
    if (auto restarted = deployment.StartNode(*node); !restarted) {
      return restarted;
    }
  }
  if (!deployment.WaitInForce(*version, kReturnTimeout)) {
    report.AddViolation("not all nodes were ready again within 30 s");
  }
  report.Add("nodes", static_cast<double>(deployment.Nodes().size()), "");
  report.Add("nodes killed and started together", static_cast<double>(killed.size()), "");
  report.Add("time until all are ready and in force", MillisecondsSince(start), "ms");
  report.Add("control bytes per returning node",
             (deployment.ControlBytes(false) - bytes_before) / static_cast<double>(killed.size()),
             "B");
  if (!deployment.WaitMembers(deployment.Nodes().size(), kReturnTimeout)) {
    report.AddViolation("not all nodes list all members 30 s after the return");
  }
  report.Add("time until all list all members", MillisecondsSince(start), "ms");
  deployment.Stop(kStopTimeout);
  return {};
}

utils::Result<void> OutageScenario::Run(const ScenarioOptions& options, Report& report) {
  auto started = StartDeployment(options, false);
  if (!started) {
    return tl::unexpected(started.error());
  }
  Deployment& deployment = **started;
  const auto version = PublishHistory(deployment);
  if (!version || !deployment.WaitInForce(*version, kConvergenceTarget)) {
    return utils::Fail(utils::ErrorCode::kNotReady, "the history is not in force");
  }
  deployment.SetLogFaults({{"down", true}});
  NodeProcess& node = deployment.Nodes().back();
  node.node->Kill();
  const auto start = std::chrono::steady_clock::now();
  if (auto restarted = deployment.StartNode(node); !restarted) {
    return restarted;
  }
  // WaitInForce fails where the node becomes ready with an older state.
  if (!deployment.WaitInForce(*version, kReturnTimeout)) {
    report.AddViolation("the restarted node is not ready from its peers");
  }
  report.Add("time until ready without the log", MillisecondsSince(start), "ms");
  deployment.SetLogFaults({{"down", false}});
  const auto log_back = std::chrono::steady_clock::now();
  const auto offset = PublishChange(deployment, *version);
  if (!offset || !deployment.WaitInForce(*offset, kConvergenceTarget)) {
    report.AddViolation("a change after the outage was not in force within 9 s");
  }
  report.Add("time until a change is in force after the outage", MillisecondsSince(log_back), "ms");
  deployment.Stop(kStopTimeout);
  return {};
}

}  // namespace amaranthlatch::tools
