// A deployment of real processes on loopback.

#include "tools/support/deployment.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <optional>
#include <sstream>
#include <thread>
#include <utility>

namespace amaranthlatch::tools {

namespace {

using nlohmann::json;
using utils::ErrorCode;
using utils::Fail;

constexpr int kPeerPort = 7000;
constexpr int kDataPort = 7001;
constexpr int kAdminPort = 7002;
constexpr int kBackendPort = 7003;
constexpr int kLogPort = 7010;
constexpr std::size_t kHostsPerNetwork = 250;
constexpr std::size_t kSeedCount = 3;
constexpr std::chrono::milliseconds kStatusTimeout{500};
constexpr std::chrono::milliseconds kPollInterval{5};
constexpr std::chrono::milliseconds kStartTimeout{5000};
constexpr char kControlBytes[] =
    "amaranthlatch_message_bytes_by_region_total{direction=\"sent\",traffic=\"control\"";
constexpr char kUnknownRegion[] = "key=\"unknown\"";
constexpr char kSecret[] = "loopback-only-secret-for-tests-0123456789";

// Networks of 127/8 differ between concurrent runs, so that their ports do not collide.
std::string NetworkPrefix() { return "127." + std::to_string(1 + getpid() % 250) + "."; }

std::string Address(const std::string& ip, int port) { return ip + ":" + std::to_string(port); }

void ForEachMetric(const NodeProcess& node, const std::string& prefix,
                   const std::function<void(const std::string&, double)>& visit) {
  const HttpReply reply =
      Fetch({.url = "http://" + node.AdminAddress() + "/metrics", .timeout = kStatusTimeout});
  std::istringstream lines(reply.body);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(prefix)) {
      visit(line, std::stod(line.substr(line.rfind(' ') + 1)));
    }
  }
}

json ProtectionOf(const ServiceOptions& service) {
  return {{"slots", service.slots}, {"connections", service.connections}, {"queue_length", 100},
          {"queue_ms", 500},        {"retry_budget_percent", 10},         {"max_attempts", 3},
          {"slow_start_ms", 1000}};
}

json RouteOf(const std::string& name, const std::string& method, bool idempotent,
             bool permit_required) {
  return {{"name", name},
          {"path_prefix", "/" + name},
          {"methods", {method}},
          {"split", {{{"version", "stable"}, {"weight", 100}}}},
          {"idempotent", idempotent},
          {"permit_required", permit_required},
          {"priority", "interactive"},
          {"deadline_ms", 2000},
          {"max_request_bytes", 65536},
          {"max_response_bytes", 1048576}};
}

}  // namespace

std::string NodeProcess::PeerAddress() const { return Address(this->ip, kPeerPort); }
std::string NodeProcess::DataAddress() const { return Address(this->ip, kDataPort); }
std::string NodeProcess::AdminAddress() const { return Address(this->ip, kAdminPort); }
std::string NodeProcess::BackendAddress() const { return Address(this->ip, kBackendPort); }

utils::Result<std::unique_ptr<Deployment>> Deployment::Start(DeploymentOptions options) {
  std::filesystem::create_directories(options.work_directory);
  std::unique_ptr<Deployment> deployment(new Deployment(std::move(options)));
  deployment->log_address = Address(NetworkPrefix() + "255.1", kLogPort);
  deployment->PlanNodes();
  if (auto started = deployment->StartLog(); !started) {
    return tl::unexpected(started.error());
  }
  for (NodeProcess& node : deployment->nodes) {
    if (auto written = deployment->WriteSettings(node); !written) {
      return tl::unexpected(written.error());
    }
    std::filesystem::remove(deployment->RunsFile(node));
    if (auto started = deployment->StartNode(node); !started) {
      return tl::unexpected(started.error());
    }
    if (!deployment->options.backend_servers) {
      continue;
    }
    if (auto started = deployment->StartBackendServer(node); !started) {
      return tl::unexpected(started.error());
    }
  }
  return deployment;
}

void Deployment::PlanNodes() {
  for (const ZoneOptions& zone : this->options.zones) {
    for (const ServiceOptions& service : this->options.services) {
      for (std::uint32_t i = 0; i < service.nodes_per_zone; ++i) {
        const std::size_t index = this->nodes.size();
        NodeProcess node;
        node.ip = NetworkPrefix() + std::to_string(index / kHostsPerNetwork) + "." +
                  std::to_string(index % kHostsPerNetwork + 1);
        node.region = zone.region;
        node.zone = zone.zone;
        node.service = service;
        node.settings_file = this->options.work_directory + "/" + node.ip + ".json";
        this->nodes.push_back(std::move(node));
      }
    }
  }
}

utils::Result<void> Deployment::WriteSettings(NodeProcess& node) const {
  json seeds = json::array();
  // Seeds of other zones let zones find each other; the first node of each zone is one.
  std::string zone;
  for (const NodeProcess& other : this->nodes) {
    if (other.zone != zone && (seeds.size() < kSeedCount || other.zone == node.zone)) {
      seeds.push_back(other.PeerAddress());
    }
    zone = other.zone;
  }
  json settings = {{"node_address", node.PeerAddress()},
                   {"data_address", node.DataAddress()},
                   {"admin_address", node.AdminAddress()},
                   {"region", node.region},
                   {"zone", node.zone},
                   {"seeds", std::move(seeds)},
                   {"log_address", this->log_address},
                   {"log_region", this->nodes.front().region},
                   {"secret", kSecret}};
  settings.update(this->options.node_settings);
  std::ofstream file(node.settings_file);
  file << settings.dump(2) << '\n';
  if (!file.good()) {
    return Fail(ErrorCode::kSettingsUnreadable, "cannot write " + node.settings_file);
  }
  return {};
}

utils::Result<void> Deployment::StartLog() {
  const std::size_t colon = this->log_address.find(':');
  auto process =
      Process::Start({this->options.build_directory + "/standins/platform_log/platform_log",
                      "--ip=" + this->log_address.substr(0, colon),
                      "--port=" + this->log_address.substr(colon + 1)},
                     this->options.work_directory + "/platform_log.out");
  if (!process) {
    return tl::unexpected(process.error());
  }
  this->log = std::make_unique<Process>(std::move(*process));
  const auto end = std::chrono::steady_clock::now() + kStartTimeout;
  while (Fetch({.url = "http://" + this->log_address + "/counters"}).status == 0) {
    if (std::chrono::steady_clock::now() > end) {
      return Fail(ErrorCode::kLogUnavailable, "the log stand-in does not answer");
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return {};
}

utils::Result<void> Deployment::StartNode(NodeProcess& node) {
  auto process =
      Process::Start({this->options.build_directory + "/apps/amaranthlatchd/amaranthlatchd",
                      "--settings", node.settings_file},
                     this->options.work_directory + "/" + node.ip + ".node.out");
  if (!process) {
    return tl::unexpected(process.error());
  }
  node.node = std::make_unique<Process>(std::move(*process));
  return {};
}

utils::Result<void> Deployment::StartBackendServer(NodeProcess& node) {
  const ServiceOptions& service = node.service;
  auto process = Process::Start(
      {this->options.build_directory + "/standins/backend_server/backend_server", "--ip=" + node.ip,
       "--port=" + std::to_string(kBackendPort), "--node=" + node.AdminAddress(),
       "--service=" + service.name, "--label=release=1", "--slots=" + std::to_string(service.slots),
       "--connections=" + std::to_string(service.connections),
       "--work-ms=" + std::to_string(service.work_ms), "--runs-file=" + this->RunsFile(node)},
      this->options.work_directory + "/" + node.ip + ".backend.out");
  if (!process) {
    return tl::unexpected(process.error());
  }
  node.backend_server = std::make_unique<Process>(std::move(*process));
  return {};
}

utils::Result<std::uint64_t> Deployment::Publish(const json& document,
                                                 std::optional<std::uint64_t> base_version) {
  this->publishes += 1;
  const json record = {
      {"format", 1},
      {"publish_id", "tool-" + std::to_string(getpid()) + "-" + std::to_string(this->publishes)},
      {"service", document.at("service")},
      {"base_version", base_version ? json(*base_version) : json(nullptr)},
      {"author", "measure"},
      {"published_at", "1970-01-01T00:00:00Z"},
      {"action", "put"},
      {"document", document}};
  const HttpReply reply = Fetch({.method = "POST",
                                 .url = "http://" + this->log_address + "/streams/config/records",
                                 .headers = {"Content-Type: application/json"},
                                 .body = record.dump()});
  const json body = json::parse(reply.body, nullptr, false);
  if (!body.is_object() || !body.contains("offset")) {
    return Fail(ErrorCode::kPublishOutcomeUnknown, "the log did not confirm the append");
  }
  return body.at("offset").get<std::uint64_t>();
}

void Deployment::SetLogFaults(const json& faults) const {
  Fetch({.method = "POST",
         .url = "http://" + this->log_address + "/faults",
         .headers = {"Content-Type: application/json"},
         .body = faults.dump()});
}

json Deployment::Status(const NodeProcess& node) {
  const HttpReply reply =
      Fetch({.url = "http://" + node.AdminAddress() + "/status", .timeout = kStatusTimeout});
  const json body = json::parse(reply.body, nullptr, false);
  return body.is_object() ? body : json();
}

bool Deployment::WaitInForce(std::uint64_t offset, std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  for (NodeProcess& node : this->nodes) {
    while (node.node && node.node->Running()) {
      const json status = Status(node);
      if (status.is_object() && status.value("ready", false) &&
          status.value("in_force_offset", std::uint64_t{0}) >= offset) {
        break;
      }
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return true;
}

bool Deployment::WaitMembers(std::size_t members, std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  for (NodeProcess& node : this->nodes) {
    while (node.node && node.node->Running()) {
      const json status = Status(node);
      const json counts = status.is_object() ? status.value("members", json::object()) : json();
      // A node without a backend server stays joining: it takes calls but is no gate.
      const std::size_t listed =
          counts.is_object()
              ? counts.value("ready", std::size_t{0}) +
                    (this->options.backend_servers ? 0 : counts.value("joining", std::size_t{0}))
              : 0;
      if (listed >= members) {
        break;
      }
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return true;
}

double Deployment::ControlBytes(bool cross_region) const {
  double sum = 0;
  for (const NodeProcess& node : this->nodes) {
    const std::string own_region = "key=\"" + node.region + "\"";
    ForEachMetric(node, kControlBytes, [&](const std::string& line, double value) {
      const bool crosses = line.find(own_region) == std::string::npos &&
                           line.find(kUnknownRegion) == std::string::npos;
      sum += crosses || !cross_region ? value : 0;
    });
  }
  return sum;
}

double Deployment::SumMetric(const std::string& prefix) const {
  double sum = 0;
  for (const NodeProcess& node : this->nodes) {
    ForEachMetric(node, prefix, [&sum](const std::string&, double value) { sum += value; });
  }
  return sum;
}

std::map<std::string, std::uint32_t> Deployment::Runs() const {
  std::map<std::string, std::uint32_t> runs;
  for (const NodeProcess& node : this->nodes) {
    std::ifstream file(this->RunsFile(node));
    for (std::string line; std::getline(file, line);) {
      runs[line] += 1;
    }
  }
  return runs;
}

void Deployment::Stop(std::chrono::milliseconds timeout) {
  for (NodeProcess& node : this->nodes) {
    if (node.node) {
      node.node->Terminate();
    }
  }
  const auto end = std::chrono::steady_clock::now() + timeout;
  for (NodeProcess& node : this->nodes) {
    if (!node.node) {
      continue;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    node.node->WaitFor(std::max(left, std::chrono::milliseconds(0)));
  }
  for (NodeProcess& node : this->nodes) {
    node.node.reset();
    node.backend_server.reset();
  }
  this->log.reset();
}

std::string Deployment::RunsFile(const NodeProcess& node) const {
  return this->options.work_directory + "/" + node.ip + ".runs";
}

json MakeDocument(const ServiceOptions& service, std::uint32_t revision) {
  return {{"format", 1},
          {"service", service.name},
          {"owner", service.name + "-team-" + std::to_string(revision)},
          {"hosts", {service.name + ".example"}},
          {"versions", {{"stable", {{"labels", {{"release", "1"}}}}}}},
          {"routes",
           {RouteOf("read", "GET", true, false), RouteOf("record", "POST", false, true),
            RouteOf("once", "POST", false, false)}},
          {"protection", ProtectionOf(service)},
          {"locality", {{"prefer", "zone"}, {"spill_load_percent", 80}}}};
}

}  // namespace amaranthlatch::tools
