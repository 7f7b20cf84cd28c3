// Chooses the gate of each attempt and tracks this node's observations of the gates.

#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "amaranthlatch/calls/balance_policy.h"
#include "context.h"
#include "crossing_decision.h"
#include "service_statistics.h"
#include "service_times.h"
#include "workspace_loads.h"

namespace amaranthlatch::calls::details {

// Outcome of an attempt, for load balancing.
enum class AttemptOutcome : std::uint8_t {
  kAnswered,
  // The gate or the backend server refused the attempt or failed.
  kFailed,
  // The gate refused the attempt because of its load.
  kBusy,
  // The gate did not get the attempt, or has no backend server that runs.
  kUnreachable,
  // The call ended for another reason; says nothing about the gate.
  kAbandoned,
};

class Balancer {
 public:
  // What decides on the place of a call in the queues of gates, and on its service time.
  struct Demand {
    document::Priority priority = document::Priority::kNormal;
    RouteKey route = 0;
    // Empty for a call that belongs to no workspace.
    std::string_view workspace;
    utils::Duration target_latency{};
    // Time in which the answer is due.
    utils::Duration budget = utils::Duration::max();
    std::uint64_t request_bytes = 0;
    // Whether the call was sent to another gate before.
    bool is_repeated = false;
    // Whether an attempt of the call still runs, so that another one is worth a free slot only.
    bool needs_free_slot = false;
  };

  Balancer(SharedState& shared, std::unique_ptr<BalancePolicy> policy);

  // Returns a ready member of the route's split, or null if there is none. Members in `tried` are
  // used only if no others are ready. `target` is the index of the split target: drawn by weight if
  // empty, and reused for further attempts. Returns null if the call would be answered later than
  // after `max_wait` by the chosen member.
  const membership::Member* Choose(const Context& context, const document::Route& route,
                                   const std::vector<membership::NodeId>& tried,
                                   std::optional<std::size_t>& target,
                                   utils::Duration max_wait = utils::Duration::max(),
                                   std::uint64_t request_bytes = 0) {
    const Demand demand{route.priority, RouteKeyOf(route), {}, route.target_latency, max_wait,
                        request_bytes,  !tried.empty()};
    return this->Choose(context, route, demand, tried, target);
  }
  // The same for a call whose priority differs from that of its route or that has a workspace.
  const membership::Member* Choose(const Context& context, const document::Route& route,
                                   const Demand& demand,
                                   const std::vector<membership::NodeId>& tried,
                                   std::optional<std::size_t>& target);
  // Whether the last Choose() rejected a member because of `max_wait`.
  bool WasOverloaded() const { return this->overloaded; }
  // Expected wait at the best member that the last Choose() found, rejected or not.
  utils::Duration LastExpectedWait() const { return this->expected_wait; }
  // Mean time of a call of the route at the backend servers of the service; zero if not known.
  utils::Duration MeanServiceTime(const std::string& service, RouteKey route) const;
  // Expected wait of a call of the route at this gate; zero if it is not known.
  utils::Duration ExpectedWait(const Context& context, const membership::NodeId& gate,
                               const document::Route& route);

  // Returns a random index into the split, by weight; nothing if all weights are 0.
  std::optional<std::size_t> DrawTarget(const document::Route& route);

  void OnSent(const membership::NodeId& gate, document::Priority priority, utils::Timestamp now);
  // `latency` counts only if the attempt was answered.
  void OnEnded(const membership::NodeId& gate, RouteKey route, AttemptOutcome outcome,
               utils::Duration latency, utils::Timestamp now);
  // The gate refused a call of the service and route because of its load.
  void OnRefused(const Context& context, const membership::NodeId& gate, const std::string& service,
                 RouteKey route);
  // The outcome of an attempt of this priority that the gate refused with this code.
  AttemptOutcome OutcomeOf(const membership::NodeId& gate, document::Priority priority,
                           utils::ErrorCode code);
  // The backend server of the gate answered a call of the service; `time` is how long it worked on
  // it, if it is known.
  void OnAnswer(const membership::NodeId& gate, const std::string& service, RouteKey route,
                std::optional<utils::Duration> time, std::uint64_t answer_bytes);
  // Counts an answered call of the service; `bytes` of its request and answer.
  void CountAnswer(const Context& context, const membership::NodeId& gate,
                   const std::string& service, std::uint64_t bytes);
  // The gate reports that calls of the route take this long at its server; 0 if it does not know.
  void OnRunTime(const membership::NodeId& gate, const std::string& service, RouteKey route,
                 std::uint32_t run_time_us, utils::Timestamp now);
  void OnLoadReport(const membership::NodeId& gate, const GateLoad& load, utils::Timestamp now);
  // What the last load report says of one workspace; unset if it does not tell it apart.
  void OnWorkspaceLoad(const membership::NodeId& gate, const Demand& demand,
                       std::optional<std::uint32_t> ahead, utils::Timestamp now);
  // The process with this boot id has been replaced, although the member list may still name it.
  void OnProcessReplaced(const membership::NodeId& gate, std::uint64_t boot);

 private:
  // Weight of a new sample in the latency of a gate.
  static constexpr double kLatencySmoothing = 0.2;

  struct Peer {
    std::uint32_t in_flight = 0;
    // From the sending of an attempt to its answer, with the wait at the gate.
    ServiceTimes latencies{kLatencySmoothing};
    // Times at the backend server alone.
    ServiceTimes service_times{kLatencySmoothing};
    // Time of its calls relative to the mean of the service, as last reported; 0 if it is not
    // known.
    double speed_factor = 0.0;
    utils::Timestamp speed_at{};
    // The last report and its route.
    double run_time_us = 0.0;
    RouteKey run_time_route = 0;
    utils::Timestamp latency_at{};
    double failure_score = 0.0;
    utils::Timestamp failure_score_at{};
    // Whether the last failure was kUnreachable and no answer has come since.
    bool is_unreachable = false;
    // Start of the current wait for a reply; valid while `awaiting_reply` is set.
    utils::Timestamp awaiting_since{};
    bool awaiting_reply = false;
    GateLoad load;
    WorkspaceLoads workspace_loads;
    // Calls sent by this node since the last load report of the gate, by priority.
    std::array<std::uint32_t, document::kPriorityCount> sent_since_report{};
    utils::Timestamp load_at{};
    // The process that was first observed ready at `ready_at`.
    std::uint64_t ready_boot_id = 0;
    std::uint64_t ready_incarnation = 0;
    utils::Timestamp ready_at{};
    std::uint64_t replaced_boot_id = 0;
  };
  // The peer of each member of a list, so that a choice needs no lookups by id.
  struct ServicePeers {
    membership::MemberList members;
    std::vector<Peer*> peers;
  };
  // Locality levels: this instance, its zone, its region, other regions.
  static constexpr std::size_t kLevels = 4;
  using Levels = std::array<std::vector<Candidate>, kLevels>;

  // Averages over all backend servers of the service for the route of a choice; 0 where unknown.
  struct RouteAveragesOfService {
    double service_time_us = 0.0;
    double answer_bytes = 0.0;
  };

  const membership::Member* ChooseTarget(const Context& context, const document::Route& route,
                                         const document::SplitTarget& target, const Demand& demand,
                                         const std::vector<membership::NodeId>& tried);
  // Returns an index into the candidates, for policies that account for distance. Returns nothing
  // if all servers near were tried and crossing costs more than the call is worth.
  std::optional<std::size_t> ChooseByCost(const std::string& service, const document::Route& route,
                                          const Demand& demand, utils::Timestamp now);
  // What a call costs that is refused or answered late, in microseconds.
  double LossOf(const document::Route& route, const Demand& demand) const;
  // Fills `levels` and `home`; returns false if there is no candidate.
  bool Collect(const Context& context, const document::ServiceDocument& document,
               const document::VersionSelector& selector, const Demand& demand,
               const std::vector<membership::NodeId>& tried);
  std::size_t LevelForPolicy(const membership::Member& self, const membership::Member& member,
                             document::LocalityPreference prefer) const;
  const ServicePeers& FindPeers(const std::string& service, const membership::MemberList& members);
  Candidate MakeCandidate(const membership::Member& member, Peer& peer, utils::Duration slow_start,
                          const Demand& demand, const RouteAveragesOfService& averages,
                          utils::Timestamp now);
  RouteAveragesOfService FindAverages(const std::string& service, RouteKey route) const;
  // Running calls of the gate and queued ones that precede a new call, as last reported.
  // `drain_rate`: calls that the backend server takes from the queue in a microsecond; 0 if it is
  // not known.
  std::uint32_t ReportedLoad(const Peer& peer, const Demand& demand, double drain_rate,
                             utils::Timestamp now) const;
  std::size_t ChooseLevel(const document::Locality& locality) const;
  double DecayedFailureScore(const Peer& peer, utils::Timestamp now) const;
  Peer& GetPeer(const membership::NodeId& id);
  // Removes peers without calls if there is no room for `count` more.
  void MakeRoom(std::size_t count);

  SharedState& shared;
  std::unique_ptr<BalancePolicy> policy;
  std::unordered_map<membership::NodeId, Peer> peers;
  ServiceStatistics statistics;
  CrossingDecision crossing;
  // Members to reuse their memory. The candidates point into `service_members`.
  Levels levels;
  // Nearest distance group with a ready server, tried or not.
  std::size_t home = 0;
  membership::MemberList service_members;
  // Cleared when peers are removed, to which it points.
  std::unordered_map<std::string, ServicePeers> peers_by_service;
  bool overloaded = false;
  // Whether crossing cost more than the call refused was worth.
  bool crossing_too_expensive = false;
  utils::Duration expected_wait{};
};

}  // namespace amaranthlatch::calls::details
