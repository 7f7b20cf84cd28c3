// Several calls reducers connected by an in-memory network, with fake members, routes and backend
// servers, on simulated time. Used by the tests and the benchmark.

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

#include "amaranthlatch/calls/calls.h"
#include "amaranthlatch/utils/random.h"

namespace amaranthlatch::calls::testing {

class FakeMembers : public membership::MemberView {
 public:
  explicit FakeMembers(membership::NodeId self) : self(std::move(self)) {}

  void Set(const membership::Member& member);

  const membership::Member& Self() const override { return this->members.at(this->self); }
  const membership::Member* Find(std::string_view id) const override;
  membership::MemberList ServiceMembers(std::string_view service) const override;
  membership::MemberList ZoneMembers(std::string_view zone) const override;
  membership::MemberList RegionMembers(std::string_view region) const override;
  std::vector<std::string> Zones() const override { return {}; }
  std::vector<std::string> Regions() const override { return {}; }
  std::uint64_t Generation() const override { return this->generation; }
  std::size_t Size() const override { return this->members.size(); }

 private:
  template <typename Predicate>
  membership::MemberList Select(Predicate predicate) const;

  membership::NodeId self;
  std::uint64_t generation = 1;
  std::map<std::string, membership::Member, std::less<>> members;
  mutable std::map<std::string, membership::MemberList, std::less<>> lists;
};

class FakeRoutes : public document::RouteTable {
 public:
  void Set(document::ServiceDocument document);

  std::optional<document::RouteMatch> Match(std::string_view host, std::string_view path,
                                            std::string_view method) const override;
  std::shared_ptr<const document::ServiceDocument> Find(std::string_view service) const override;

 private:
  std::map<std::string, std::shared_ptr<const document::ServiceDocument>, std::less<>> documents;
};

// Returns a document of service "fleet" at host "fleet" with the routes /read (idempotent), /write,
// /permit (permit required) and /batch (batch priority).
document::ServiceDocument FleetDocument();
document::Route* FindRoute(document::ServiceDocument& document, const std::string& name);

enum class BackendMode : std::uint8_t { kNormal, kSilent, kShedding, kDead };

struct Network {
  double loss_rate = 0.0;
  double duplicate_rate = 0.0;
  // Share of the messages that are delayed by up to `max_extra_delay`.
  double delay_rate = 0.0;
  utils::Duration max_extra_delay = utils::Seconds(2);
  utils::Duration delay = utils::Milliseconds(1);
  std::set<std::pair<std::size_t, std::size_t>> partitioned;
};

struct Backend {
  BackendMode mode = BackendMode::kNormal;
  // Mean service time; uniformly distributed between half and one and a half of this value.
  utils::Duration service_time = utils::Milliseconds(5);
  // Concurrent requests above which the service time grows with the square of their number, so that
  // twice as many halve the throughput; 0 disables this.
  std::uint32_t overload_threshold = 0;
  // Share of the calls with ten times the service time.
  double slow_share = 0.0;
  // Share of the calls that it refuses, independently of its load.
  double refused_share = 0.0;
  std::uint32_t slots = 4;
  // Whether answers carry the time that the backend server worked on the request.
  bool reports_time = false;
  std::map<std::uint64_t, std::string> running;
};

struct Node {
  FakeMembers members;
  std::unique_ptr<Calls> calls;
  Backend backend;
  std::uint64_t boot = 0;
  std::uint64_t incarnation = 1;
  std::optional<utils::Timestamp> wake;
};

// Result of one call.
struct CallOutcome {
  std::string body;
  std::size_t node = 0;
  utils::Timestamp sent{};
  utils::Timestamp ended{};
  std::optional<Answer> answer;
  // The process of its entry node ended before the answer.
  bool lost = false;
};

// Simulated time: runs scheduled actions in order.
class Simulation {
 public:
  utils::Timestamp Now() const { return this->now; }
  // Schedules an action after the delay.
  void At(utils::Duration delay, std::function<void()> action);
  void RunFor(utils::Duration duration);

 protected:
  utils::Timestamp now{utils::Seconds(1'000)};

 private:
  struct Action {
    utils::Timestamp at;
    std::uint64_t order;
    std::function<void()> run;
  };

  std::uint64_t last_order = 0;
  std::vector<Action> actions;
};

class Mesh : public Simulation {
 public:
  Mesh(std::size_t nodes, std::uint64_t seed, const Options& options = {});

  // Starts a call and returns its number. A body that starts with "poison" crashes the backend
  // server that runs it.
  std::uint64_t Call(std::size_t node, const std::string& path, const std::string& body,
                     const std::string& permit = {},
                     std::optional<utils::Duration> remaining = std::nullopt);
  void AskPermit(std::size_t node, std::function<void(const AnswerPermit&)> callback,
                 const std::string& path = "/permit");
  // Requests a permit and runs the mesh for 20 ms; empty if no permit was issued in that time.
  std::string GetPermit(std::size_t node);
  void Deliver(std::size_t node, const Event& event);

  // Restarts a node that has had no calls yet with this policy.
  void SetPolicy(std::size_t node, std::unique_ptr<BalancePolicy> policy);
  // Ends the process of the node; its backend server keeps running.
  void KillNode(std::size_t node);
  void StartNode(std::size_t node);
  void KillBackend(std::size_t node);
  void StartBackend(std::size_t node);
  // Distributes the member record of a node to all nodes, at once or after a random delay each.
  void Publish(std::size_t node, membership::MemberState state, bool at_once = true);

  const CallOutcome& OutcomeOf(std::uint64_t call) const { return this->outcomes.at(call); }
  const std::map<std::uint64_t, CallOutcome>& Outcomes() const { return this->outcomes; }
  int RunsOf(const std::string& body) const;
  std::string NodeName(std::size_t node) const { return "10.0.0." + std::to_string(node) + ":1"; }
  Answer AnswerOf(std::uint64_t call) const;
  // Description of the first error: an invariant violation, a second answer to a call, the answer
  // of another call or a message that the codec changed.
  const std::string& FirstError() const { return this->first_error; }

  std::vector<Node> nodes;
  FakeRoutes routes;
  Network network;
  // Called for every call before its entry node receives it.
  std::function<void(CallReceived&)> prepare;
  // Called for every message before it is sent; returning false drops the message.
  std::function<bool(std::size_t from, std::size_t to, const Message&)> filter;
  std::vector<Effect> other_effects;
  // Nodes whose drain is complete.
  std::set<std::size_t> drained;
  int backend_crashes = 0;

 private:
  std::size_t IndexOf(const membership::NodeId& id) const;
  void StartProcess(std::size_t node, std::unique_ptr<BalancePolicy> policy);
  void HandleEffect(std::size_t node, Effect effect);
  void Send(std::size_t from, std::size_t to, const Message& message);
  void Arrive(std::size_t from, std::size_t to, const Message& message);
  void Run(std::size_t node, const RunOnBackendServer& run);
  void EndRun(std::size_t node, std::uint64_t boot, std::uint64_t run, const Event& event);
  void ScheduleWake(std::size_t node);
  void RecordAnswer(const AnswerCaller& answered);

  Options options;
  utils::Random random;
  std::uint64_t last_call = 0;
  std::uint64_t last_boot = 0;
  std::map<std::uint64_t, CallOutcome> outcomes;
  std::map<std::uint64_t, std::function<void(const AnswerPermit&)>> permit_callbacks;
  std::map<std::string, int> runs;
  std::string first_error;
};

}  // namespace amaranthlatch::calls::testing
