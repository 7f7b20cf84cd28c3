// The main job, shown once.

#include "tools/measure/demo.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "tools/measure/load.h"

namespace amaranthlatch::tools {

namespace {

constexpr std::chrono::milliseconds kStartTimeout{30'000};
constexpr std::chrono::milliseconds kCommandTimeout{20'000};
constexpr std::chrono::milliseconds kStopTimeout{10'000};
constexpr double kCallsPerSecond = 200;

// Writes the document to a file and publishes it with the operators' command line.
class Publisher {
 public:
  Publisher(const ScenarioOptions& options, Deployment& deployment)
      : options(options), deployment(deployment) {}

  bool Publish(const nlohmann::json& document, std::uint64_t base_version) {
    const std::string file = this->options.work_directory + "/document.json";
    std::ofstream(file) << document.dump(2) << '\n';
    std::vector<std::string> command = {
        this->options.build_directory + "/apps/amaranthlatch/amaranthlatch",
        "publish",
        file,
        "--log=" + this->deployment.LogAddress(),
        "--author=demo",
        "--wait=9000"};
    if (base_version > 0) {
      command.push_back("--base=" + std::to_string(base_version));
    }
    for (const NodeProcess& node : this->deployment.Nodes()) {
      command.push_back("--node=" + node.AdminAddress());
    }
    const std::string output = this->options.work_directory + "/publish.out";
    std::filesystem::remove(output);
    auto process = Process::Start(command, output);
    const bool ended = process && process->WaitFor(kCommandTimeout);
    std::cout << std::ifstream(output).rdbuf();
    return ended && process->ExitCode() == 0;
  }

 private:
  const ScenarioOptions& options;
  Deployment& deployment;
};

LoadOptions PlanLoad(Deployment& deployment, CallKind kind, const std::string& prefix) {
  LoadOptions load;
  for (const NodeProcess& node : deployment.Nodes()) {
    load.addresses.push_back(node.DataAddress());
  }
  load.host = "service-1.example";
  load.kind = kind;
  load.calls_per_second = kCallsPerSecond;
  load.key_prefix = prefix;
  return load;
}

void ReportCalls(const std::string& name, const LoadResult& result, Deployment& deployment,
                 CallKind kind, Report& report) {
  report.Add(name + " answered", static_cast<double>(result.answered), "calls");
  report.Add(name + " not answered", static_cast<double>(result.Total() - result.answered),
             "calls");
  report.Add(name + " p50", Percentile(result.latencies_ms, 0.5), "ms");
  report.Add(name + " p99", Percentile(result.latencies_ms, 0.99), "ms");
  if (result.answered == 0) {
    report.AddViolation("no call was answered: " + name);
  }
  for (const std::string& text : CheckRuns(result, deployment.Runs(), kind)) {
    report.AddViolation(text);
  }
}

}  // namespace

utils::Result<void> DemoScenario::Run(const ScenarioOptions& options, Report& report) {
  std::cout << "starting the stand-ins and " << options.zones << " zones of nodes\n";
  DeploymentOptions plan = PlanDeployment(options);
  const std::vector<ServiceOptions> services = plan.services;
  auto started = Deployment::Start(std::move(plan));
  if (!started) {
    return tl::unexpected(started.error());
  }
  Deployment& deployment = **started;
  if (!deployment.WaitMembers(deployment.Nodes().size(), kStartTimeout)) {
    return utils::Fail(utils::ErrorCode::kNotReady, "not all nodes became ready");
  }
  Publisher publisher(options, deployment);
  for (const ServiceOptions& service : services) {
    std::cout << "publishing " << service.name << '\n';
    if (!publisher.Publish(MakeDocument(service, 1), 0)) {
      return utils::Fail(utils::ErrorCode::kPublishOutcomeUnknown, "the first publish failed");
    }
  }
  std::cout << "sending calls\n";
  const auto part = options.duration / 4;
  ReportCalls("reads", Load::RunFor(PlanLoad(deployment, CallKind::kRead, "read"), part),
              deployment, CallKind::kRead, report);
  ReportCalls("records", Load::RunFor(PlanLoad(deployment, CallKind::kRecord, "record"), part),
              deployment, CallKind::kRecord, report);

  std::cout << "publishing a second version under load\n";
  Load load(PlanLoad(deployment, CallKind::kRead, "during"));
  std::this_thread::sleep_for(part);
  const double bytes_before = deployment.ControlBytes(false);
  const auto start = std::chrono::steady_clock::now();
  if (!publisher.Publish(MakeDocument(services.front(), 2), 1)) {
    report.AddViolation("the second version was not in force everywhere within 9 s");
  }
  const auto elapsed = std::chrono::steady_clock::now() - start;
  report.Add("convergence of the second version, with the command line",
             std::chrono::duration<double, std::milli>(elapsed).count(), "ms");
  report.Add("control bytes meanwhile, all nodes", deployment.ControlBytes(false) - bytes_before,
             "B");
  ReportCalls("reads during the publish", load.Stop(), deployment, CallKind::kRead, report);
  std::cout << "stopping\n";
  deployment.Stop(kStopTimeout);
  return {};
}

}  // namespace amaranthlatch::tools
