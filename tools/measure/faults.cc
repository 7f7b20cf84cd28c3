// Random process faults under load and publishing.

#include "tools/measure/faults.h"

#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "amaranthlatch/utils/random.h"
#include "tools/measure/load.h"

namespace amaranthlatch::tools {

namespace {

constexpr std::chrono::milliseconds kFaultInterval{400};
constexpr std::chrono::milliseconds kPauseTime{1'500};
constexpr std::chrono::milliseconds kConvergenceTarget{9'000};
// Time for restarted nodes to join before convergence is measured.
constexpr std::chrono::milliseconds kSettleTime{3'000};
constexpr double kCallsPerSecond = 100;

// Draws and applies one fault after another; undoes them all at the end.
class FaultInjector {
 public:
  FaultInjector(Deployment& deployment, std::uint64_t seed)
      : deployment(deployment), random(seed) {}

  void InjectOne() {
    NodeProcess& node =
        this->deployment.Nodes()[this->random.Uniform(this->deployment.Nodes().size())];
    switch (this->random.Uniform(6)) {
      case 0:
        node.node->Kill();
        this->deployment.StartNode(node);
        this->kills += 1;
        break;
      case 1:
        node.backend_server->Kill();
        this->deployment.StartBackendServer(node);
        this->kills += 1;
        break;
      case 2:
        this->PauseFor(node);
        break;
      case 3:
        this->deployment.SetLogFaults({{"down", this->random.Bernoulli(0.5)}});
        break;
      case 4:
        this->deployment.SetLogFaults({{"lost_answers", 1}});
        break;
      default:
        this->deployment.SetLogFaults({{"delay_ms", this->random.Uniform(300)}});
        break;
    }
  }

  void UndoAll() {
    this->deployment.SetLogFaults({{"down", false}, {"delay_ms", 0}, {"lost_answers", 0}});
    for (NodeProcess& node : this->deployment.Nodes()) {
      node.node->Resume();
      node.backend_server->Resume();
    }
  }

  std::uint32_t Kills() const { return this->kills; }
  std::uint32_t Pauses() const { return this->pauses; }

 private:
  void PauseFor(NodeProcess& node) {
    Process& process = this->random.Bernoulli(0.5) ? *node.node : *node.backend_server;
    process.Pause();
    std::this_thread::sleep_for(kPauseTime);
    process.Resume();
    this->pauses += 1;
  }

  Deployment& deployment;
  utils::Random random;
  std::uint32_t kills = 0;
  std::uint32_t pauses = 0;
};

std::unique_ptr<Load> StartLoad(const std::vector<std::string>& addresses, CallKind kind,
                                const std::string& prefix) {
  LoadOptions load;
  load.addresses = addresses;
  load.host = "service-1.example";
  load.kind = kind;
  load.calls_per_second = kCallsPerSecond;
  load.key_prefix = prefix;
  return std::make_unique<Load>(std::move(load));
}

void ReportLoad(const std::string& name, const LoadResult& result, Report& report) {
  report.Add(name + " answered", static_cast<double>(result.answered), "calls");
  report.Add(name + " not run", static_cast<double>(result.not_run), "calls");
  report.Add(name + " unknown", static_cast<double>(result.unknown), "calls");
  report.Add(name + " without any answer", static_cast<double>(result.lost), "calls");
}

}  // namespace

utils::Result<void> FaultsScenario::Run(const ScenarioOptions& options, Report& report) {
  auto started = StartDeployment(options, true);
  if (!started) {
    return tl::unexpected(started.error());
  }
  Deployment& deployment = **started;
  std::vector<std::string> addresses;
  for (const NodeProcess& node : deployment.Nodes()) {
    addresses.push_back(node.DataAddress());
  }
  auto reads = StartLoad(addresses, CallKind::kRead, "read");
  auto once = StartLoad(addresses, CallKind::kOnce, "once");
  auto records = StartLoad(addresses, CallKind::kRecord, "record");

  FaultInjector injector(deployment, options.seed);
  ServiceOptions service;
  service.name = "service-1";
  std::uint64_t version = 1;
  std::uint32_t revision = 1;
  const auto end = std::chrono::steady_clock::now() + options.duration;
  while (std::chrono::steady_clock::now() < end) {
    injector.InjectOne();
    revision += 1;
    // Publishing fails while the log is down; a lost answer makes the next base version stale.
    if (const auto offset = deployment.Publish(MakeDocument(service, revision), version)) {
      version = *offset;
    }
    std::this_thread::sleep_for(kFaultInterval);
  }
  injector.UndoAll();
  const LoadResult read_result = reads->Stop();
  const LoadResult once_result = once->Stop();
  const LoadResult record_result = records->Stop();

  std::this_thread::sleep_for(kSettleTime);
  const auto start = std::chrono::steady_clock::now();
  const auto offset = deployment.Publish(MakeDocument(service, revision + 1), std::nullopt);
  if (!offset || !deployment.WaitInForce(*offset, kConvergenceTarget)) {
    report.AddViolation("not all nodes converged within 9 s after the faults ended");
  }
  const auto elapsed = std::chrono::steady_clock::now() - start;
  report.Add("convergence after the faults",
             std::chrono::duration<double, std::milli>(elapsed).count(), "ms");
  report.Add("kills", injector.Kills(), "");
  report.Add("pauses", injector.Pauses(), "");
  ReportLoad("reads", read_result, report);
  ReportLoad("single calls", once_result, report);
  ReportLoad("calls with permit", record_result, report);
  if (read_result.answered == 0 || once_result.answered == 0 || record_result.answered == 0) {
    report.AddViolation("a kind of call was never answered");
  }

  const auto runs = deployment.Runs();
  std::map<std::string, std::uint32_t> writes;
  for (const auto& [key, count] : runs) {
    if (!key.starts_with("read")) {
      writes[key] = count;
    }
  }
  for (const auto& [result, kind] :
       {std::pair(&read_result, CallKind::kRead), std::pair(&once_result, CallKind::kOnce),
        std::pair(&record_result, CallKind::kRecord)}) {
    for (const std::string& text :
         CheckRuns(*result, kind == CallKind::kRead ? runs : writes, kind)) {
      report.AddViolation(text);
    }
  }
  deployment.Stop(std::chrono::milliseconds(5'000));
  return {};
}

}  // namespace amaranthlatch::tools
