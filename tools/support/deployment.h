// A deployment of real processes on loopback: the stand-ins and the nodes of some zones.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "amaranthlatch/utils/result.h"
#include "tools/support/http.h"
#include "tools/support/process.h"

namespace amaranthlatch::tools {

struct ZoneOptions {
  std::string region;
  std::string zone;
};

struct ServiceOptions {
  std::string name;
  std::uint32_t slots = 20;
  std::uint32_t connections = 110;
  std::uint32_t work_ms = 1;
  // Nodes with a backend server of this service in each zone.
  std::uint32_t nodes_per_zone = 1;
};

struct DeploymentOptions {
  // Directory of the build whose programs are started.
  std::string build_directory;
  // Receives settings, outputs and run counts; created if absent.
  std::string work_directory;
  std::vector<ZoneOptions> zones;
  std::vector<ServiceOptions> services;
  // Without them nodes run alone, for measurements of control traffic only.
  bool backend_servers = true;
  // Further settings of every node, for example {"spread": "poll"}.
  nlohmann::json node_settings = nlohmann::json::object();
};

// One node and its backend server.
struct NodeProcess {
  std::string ip;
  std::string region;
  std::string zone;
  ServiceOptions service;
  std::string settings_file;
  std::unique_ptr<Process> node;
  std::unique_ptr<Process> backend_server;

  std::string PeerAddress() const;
  std::string DataAddress() const;
  std::string AdminAddress() const;
  std::string BackendAddress() const;
};

class Deployment {
 public:
  // Starts the log and all nodes; does not wait until they are ready.
  static utils::Result<std::unique_ptr<Deployment>> Start(DeploymentOptions options);

  std::vector<NodeProcess>& Nodes() { return this->nodes; }
  const std::string& LogAddress() const { return this->log_address; }
  Process& Log() { return *this->log; }

  utils::Result<void> StartNode(NodeProcess& node);
  utils::Result<void> StartBackendServer(NodeProcess& node);
  utils::Result<void> StartLog();

  // Appends a publish record of `document`; returns its offset.
  utils::Result<std::uint64_t> Publish(const nlohmann::json& document,
                                       std::optional<std::uint64_t> base_version);
  void SetLogFaults(const nlohmann::json& faults) const;

  // The status of a node; null where it does not answer.
  static nlohmann::json Status(const NodeProcess& node);

  // True once every running node is ready and in force at `offset` or later, within the time.
  bool WaitInForce(std::uint64_t offset, std::chrono::milliseconds timeout);

  // True once every running node lists `members` members that are ready, or
  // joining where there are no backend servers.
  bool WaitMembers(std::size_t members, std::chrono::milliseconds timeout);

  // Bytes of control messages that the running nodes have sent; `cross_region` counts only those to
  // nodes of other regions.
  double ControlBytes(bool cross_region) const;

  // Sum over the running nodes of the lines of /metrics that start with `prefix`.
  double SumMetric(const std::string& prefix) const;

  // Runs of each request key over all backend servers, read from their files.
  std::map<std::string, std::uint32_t> Runs() const;

  // Ends all processes, the nodes gracefully first.
  void Stop(std::chrono::milliseconds timeout);

 private:
  explicit Deployment(DeploymentOptions options) : options(std::move(options)) {}
  void PlanNodes();
  utils::Result<void> WriteSettings(NodeProcess& node) const;
  std::string RunsFile(const NodeProcess& node) const;

  DeploymentOptions options;
  std::string log_address;
  std::unique_ptr<Process> log;
  std::vector<NodeProcess> nodes;
  std::uint64_t publishes = 0;
};

// A valid document of a service with one idempotent route `/read`, one that needs a permit
// `/record`, and one without, `/once`; `revision` changes a value.
nlohmann::json MakeDocument(const ServiceOptions& service, std::uint32_t revision);

}  // namespace amaranthlatch::tools
