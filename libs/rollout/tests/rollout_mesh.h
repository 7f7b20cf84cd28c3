// Several rollout reducers connected by an in-memory network, with a fake register, fake backend
// servers and callers, on simulated time.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "amaranthlatch/membership/member_table.h"
#include "amaranthlatch/rollout/rollout.h"
#include "amaranthlatch/utils/random.h"

namespace amaranthlatch::rollout::testing {

// What is wrong with the new version, or with the whole service.
struct Fault {
  double failure_share = 0.0;
  double slow_factor = 1.0;
  // Time after the start of the server, or after the order if the whole service is affected.
  utils::Duration from{};
  utils::Duration until = utils::Seconds(3600);
  // Runs in progress at the server from which on it occurs.
  std::uint64_t min_running = 0;
  // Empty for all routes.
  std::string route;

  bool Matches(utils::Duration age, std::uint64_t running, const std::string& on) const {
    return age >= this->from && age < this->until && running >= this->min_running &&
           (this->route.empty() || this->route == on);
  }
};

struct Setup {
  std::uint64_t seed = 1;
  std::size_t old_nodes = 6;
  std::size_t new_nodes = 6;
  // Calls a second.
  double rate = 100.0;
  utils::Duration duration = utils::Seconds(12);
  utils::Duration work = utils::Milliseconds(40);
  utils::Duration cold{};
  bool mixed_speeds = false;
  Fault bad_version;
  Fault service;
};

struct Network {
  utils::Duration delay = utils::Milliseconds(1);
  double loss_share = 0.0;
  // Share of the messages that are delayed by up to 3 s.
  double delay_share = 0.0;
};

struct Register {
  bool available = true;
  // Share of the writes that are stored without an answer.
  double lost_answers = 0.0;
  std::uint64_t end = 0;
  std::vector<StatusRecord> records;
};

struct Node {
  membership::NodeId id;
  std::string version;
  double speed = 1.0;
  bool node_alive = false;
  bool server_alive = false;
  // Whether the node knows its server.
  bool announced = false;
  // Nodes of different groups do not reach each other.
  int group = 0;
  bool reaches_register = true;
  utils::Timestamp paused_until{};
  std::unique_ptr<Rollout> rollout;
  std::uint64_t boot = 0;
  utils::Timestamp server_started{};
  membership::Member record;
  std::uint64_t running = 0;
  std::optional<utils::Timestamp> wake;
};

// What was seen since the newest order.
struct Observations {
  // Calls, runs of the target version, and calls that no gate accepted.
  std::uint64_t calls = 0;
  std::uint64_t exposure = 0;
  std::uint64_t refused = 0;
  std::uint64_t bad_answers = 0;
  std::optional<utils::Timestamp> fiftieth_bad_answer;
  std::optional<utils::Timestamp> stopped_at;
  std::optional<utils::Timestamp> verdict_at;
  // Start of the last run of the target version.
  utils::Timestamp last_exposure{};
  // Highest term of a coordinator, and its phase.
  std::uint64_t term = 0;
  Phase phase = Phase::kNone;
  // Whether a coordinator let the target version serve without limit, or went back to an earlier
  // phase.
  bool promoted = false;
  bool went_back = false;
};

// Fails the test if there is a problem.
void Expect(const std::string& problem, const std::string& text);

class Mesh : public Observations {
 public:
  // Starts the old servers, runs for 4 s and then orders the rollout, at time 0 of the checks.
  explicit Mesh(const Setup& setup);

  utils::Timestamp Now() const { return this->now; }
  void At(utils::Duration delay, std::function<void()> action);
  void RunFor(utils::Duration duration);
  // Runs until the deadline of the order, or until the condition holds. Returns whether it does.
  bool RunUntil(const std::function<bool()>& condition);
  void Finish() {
    this->RunUntil([] { return false; });
  }
  bool RunToCanary() {
    return this->RunUntil([this] { return this->exposure > 2; });
  }
  bool RunToPhase(Phase to);

  void PlaceOrder(const std::string& version, utils::Duration duration);
  std::size_t AddNode(const std::string& version, double speed = 1.0);
  void StartNode(std::size_t node);
  void KillNode(std::size_t node);
  void Restart(std::size_t node, utils::Duration delay);
  void KillServer(std::size_t node);
  void Pause(std::size_t node, utils::Duration duration);
  // Separates the node from all that are not cut off, and from the register unless it keeps it.
  void CutOff(std::size_t node, bool keeps_register);
  void Rejoin(std::size_t node);
  // Runs a call at the gate of the node.
  void Run(std::size_t node, const std::string& route, utils::Duration work);

  // The node that coordinates under the highest term; none if none does.
  std::optional<std::size_t> Coordinator() const;
  // Verdict of the newest order; kRunning without one.
  State Verdict() const;
  // What is wrong at the end of a rollout to a good or a bad version; empty if nothing is.
  std::string CheckGood() const;
  std::string CheckBad() const;
  // The same for a bad version that was promoted before it turned bad.
  std::string CheckStopped() const;
  // Violated invariants of any rollout.
  std::string CheckAlways() const;
  std::string Describe() const;

  Setup setup;
  std::vector<Node> nodes;
  Network network;
  Register status;
  // Called when a read (without a record) or a write of a node reaches the register. Returns
  // whether it takes effect there.
  std::function<bool(std::size_t node, const StatusRecord* written)> on_status =
      [](std::size_t, const StatusRecord*) { return true; };
  std::vector<Order> orders;
  utils::Timestamp ordered_at{};
  // By version, since the start.
  std::map<std::string, std::uint64_t> runs;
  utils::Random random;
  std::vector<std::string> log;

 private:
  struct Action {
    utils::Timestamp at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Action& other) const {
      return std::tie(other.at, other.order) < std::tie(this->at, this->order);
    }
  };

  // Delivers an event to this process of the node; later, if it is paused.
  void Deliver(std::size_t node, std::uint64_t boot, Event event);
  void DeliverLater(std::size_t node, utils::Duration delay, Event event);
  void HandleEffect(std::size_t node, const Effect& effect);
  void Send(std::size_t from, const membership::NodeId& to, const Message& message);
  void Read(std::size_t node);
  void Write(std::size_t node, const WriteStatus& write);
  void Call();
  void Publish(std::size_t node);
  void ScheduleWake(std::size_t node);
  std::string Elapsed() const;
  bool IsExposureExceeded() const;
  BackendServerChanged Announcement(const Node& node, bool available) const;
  std::size_t IndexOf(const membership::NodeId& id) const { return this->indices.at(id); }

  utils::Timestamp now{utils::Seconds(1000)};
  std::priority_queue<Action> actions;
  std::uint64_t last_order = 0;
  std::uint64_t last_boot = 0;
  std::uint64_t last_run = 0;
  std::map<membership::NodeId, std::size_t> indices;
  membership::details::MemberTable members;
  std::string error;
};

}  // namespace amaranthlatch::rollout::testing
