// Simulation of a small mesh of complete nodes on simulated time, with an in-memory network and
// fakes of the log, the backend servers and the callers.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "amaranthlatch/node/envelope.h"
#include "amaranthlatch/node/node.h"
#include "amaranthlatch/utils/random.h"

namespace amaranthlatch::node::testing {

struct Faults {
  double loss_probability = 0.0;
  double duplicate_probability = 0.0;
  utils::Duration delay = utils::Milliseconds(3);
  // Zones that are partitioned from all other zones and from the log.
  std::set<std::string> partitioned_zones;
  bool log_down = false;
  bool log_slow = false;
};

struct Call {
  std::string node;
  std::string body;
  std::optional<calls::Answer> answer;
  bool idempotent = false;
};

class NodeMesh {
 public:
  NodeMesh(std::uint64_t seed, int zones, int nodes_per_zone);

  void Run(utils::Duration time);
  void Start(const membership::NodeId& id);
  void Kill(const membership::NodeId& id);
  void Pause(const membership::NodeId& id, utils::Duration time);
  void CrashBackendServer(const membership::NodeId& id);
  void Drain(const membership::NodeId& id) { this->HandleEvent(id, DrainRequested{}); }

  // Appends a record as a publisher does; PublishDuplicate appends the last record again.
  void Publish(const std::string& service, bool valid);
  void PublishDuplicate();
  void SendCall(const membership::NodeId& id, bool idempotent);

  // Whether every running node admits calls and has the whole log in force.
  bool Converged() const;
  std::string Describe() const;
  // First violated guarantee; empty if there is none.
  std::string Violation() const { return this->violation; }
  // Checks the answers received by callers so far (P4, P5, P6).
  void CheckCalls();
  bool IsUp(const membership::NodeId& id) const { return this->processes.at(id).node != nullptr; }
  const Node& At(const membership::NodeId& id) const { return *this->processes.at(id).node; }
  std::size_t CountAnswers(calls::ResultKind kind) const;

  utils::Random random;
  utils::Timestamp now{utils::Seconds(10)};
  Faults faults;
  std::vector<membership::NodeId> ids;
  std::vector<nlohmann::json> config;
  std::vector<nlohmann::json> snapshots;

 private:
  struct Process {
    std::string zone;
    std::unique_ptr<Node> node;
    std::unique_ptr<Envelope> envelope;
    std::uint64_t boot = 0;
    utils::Timestamp paused_until{};
    std::set<std::uint64_t> runs;
    bool backend_up = false;
    // Highest offset that any process at this address had in force while it admitted calls.
    acceptance::Offset highest_served_offset = 0;
  };

  void HandleEvent(const membership::NodeId& id, const Event& event);
  void ScheduleEvent(const membership::NodeId& id, utils::Duration delay, Event event);
  void At(utils::Duration delay, std::function<void()> action);
  bool Step(utils::Timestamp end);
  void PerformEffect(const membership::NodeId& id, Effect& effect);
  void Send(const membership::NodeId& from, const SendMessage& send);
  void Deliver(const membership::NodeId& from, const membership::NodeId& to,
               const std::string& bytes);
  void ReadLog(const membership::NodeId& id, const distribution::ReadLog& read,
               utils::Timestamp deadline);
  void AppendLog(const membership::NodeId& id, const distribution::AppendLog& append);
  void RunRequest(const membership::NodeId& id, const calls::RunOnBackendServer& run);
  void Announce(const membership::NodeId& id, std::uint64_t boot);
  void CheckState(const membership::NodeId& id);
  void RecordViolation(const std::string& text);
  bool IsPartitioned(const std::string& left, const std::string& right) const;
  bool ReachesLog(const membership::NodeId& id) const;

  std::uint64_t next_call = 1;
  std::uint64_t next_publish = 1;
  std::map<membership::NodeId, Process> processes;
  std::multimap<utils::Timestamp, std::function<void()>> queue;
  std::map<acceptance::Offset, std::uint64_t> hash_by_offset;
  std::map<std::uint64_t, Call> calls;
  std::map<std::string, int> runs_of_body;
  std::string violation;
};

}  // namespace amaranthlatch::node::testing
