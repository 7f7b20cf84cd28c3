// Chooses the gate of an attempt and keeps what this node observes of each.

#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "amaranthlatch/calls/balance_policy.h"
#include "context.h"

namespace amaranthlatch::calls::details {

// How an attempt ended, as the balancer sees it.
enum class AttemptOutcome : std::uint8_t {
  kAnswered,
  // The gate or the backend server refused it, or failed.
  kFailed,
  // Nothing is known of the gate: the call ended for another reason.
  kAbandoned,
};

class Balancer {
 public:
  Balancer(SharedState& shared, std::unique_ptr<BalancePolicy> policy);

  // A ready member of the route's split; null without one. Members in `tried` come last. `target`
  // is the position in the split: drawn by weight if empty, and kept for further attempts. No
  // server is chosen where the call would wait longer than `max_wait`.
  const membership::Member* Choose(const Context& context, const document::Route& route,
                                   const std::vector<membership::NodeId>& tried,
                                   std::optional<std::size_t>& target,
                                   utils::Duration max_wait = utils::Duration::max());
  // Whether the last choice failed because all servers were overloaded.
  bool WasOverloaded() const { return this->overloaded; }

  // Draws by weight; none if all weights are 0.
  std::optional<std::size_t> DrawTarget(const document::Route& route);

  void OnSent(const membership::NodeId& gate, document::Priority priority, utils::Timestamp now);
  void OnEnded(const membership::NodeId& gate, AttemptOutcome outcome, utils::Duration latency,
               utils::Timestamp now);
  void OnLoadReport(const membership::NodeId& gate, const GateLoad& load, utils::Timestamp now);
  // The process that members still list is gone: none of its successors has this boot id.
  void OnProcessReplaced(const membership::NodeId& gate, std::uint64_t boot);

 private:
  struct Peer {
    std::uint32_t in_flight = 0;
    double latency_us = 0.0;
    utils::Timestamp latency_at{};
    double failure_score = 0.0;
    utils::Timestamp failure_score_at{};
    // When the first of the attempts that are open was sent, if nothing was heard since.
    utils::Timestamp awaiting_since{};
    bool awaiting_reply = false;
    GateLoad load;
    // Own calls that were sent after the gate reported its load.
    std::array<std::uint32_t, document::kPriorityCount> sent_since_report{};
    utils::Timestamp load_at{};
    // Process that was first seen ready at `ready_at`.
    std::uint64_t ready_boot_id = 0;
    std::uint64_t ready_incarnation = 0;
    utils::Timestamp ready_at{};
    std::uint64_t replaced_boot_id = 0;
  };
  // Candidates by distance: this instance, its zone, its region, others.
  static constexpr std::size_t kLevels = 4;
  using Levels = std::array<std::vector<Candidate>, kLevels>;

  const membership::Member* ChooseTarget(const Context& context,
                                         const document::SplitTarget& target,
                                         document::Priority priority,
                                         const std::vector<membership::NodeId>& tried,
                                         utils::Duration max_wait);
  // Fills the levels; false without a candidate.
  bool Collect(const Context& context, const document::ServiceDocument& document,
               const document::VersionSelector& selector, document::Priority priority,
               const std::vector<membership::NodeId>& tried);
  std::size_t LevelForPolicy(const membership::Member& self, const membership::Member& member,
                             document::LocalityPreference prefer) const;
  Candidate MakeCandidate(const membership::Member& member, utils::Duration slow_start,
                          document::Priority priority, utils::Timestamp now);
  std::size_t ChooseLevel(const document::Locality& locality) const;
  double DecayedFailureScore(const Peer& peer, utils::Timestamp now) const;
  Peer& GetPeer(const membership::NodeId& id);

  SharedState& shared;
  std::unique_ptr<BalancePolicy> policy;
  std::unordered_map<membership::NodeId, Peer> peers;
  // Kept between calls for their memory; the candidates point into `service_members`.
  Levels levels;
  membership::MemberList service_members;
  bool overloaded = false;
};

}  // namespace amaranthlatch::calls::details
