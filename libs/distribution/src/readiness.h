// Decides whether the node may serve; see docs/design.md section 5.1.

#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "amaranthlatch/distribution/options.h"
#include "context.h"
#include "entry_exchange.h"
#include "log_follower.h"
#include "topology.h"

namespace amaranthlatch::distribution::details {

class Readiness {
 public:
  enum class Phase : std::uint8_t { kStarting, kReady, kRecheck };

  Readiness(const Options& options, Topology& topology, const Replica& replica,
            const LogFollower& log, EntryExchange& exchange, utils::Random& random);

  bool Ready() const { return this->phase == Phase::kReady; }
  bool Starting() const { return this->phase == Phase::kStarting; }
  std::string Reason() const;

  // Offset that must be in force before a starting node becomes ready; empty until it is known.
  std::optional<Offset> Target() const { return this->target; }

  // Number of other nodes of the zone that must hold an entry before it is in force. Empty while
  // the node may not have discovered the members of its zone yet.
  std::optional<std::size_t> WitnessesNeeded(const Context& context);

  // Replies to a starting node of this zone.
  void ReplyToHeldQuery(const Context& context, const membership::NodeId& from,
                        const HeldQuery& query) const;

  void Run(const Context& context);
  std::optional<utils::Timestamp> NextWake() const;

  void OnPause(const Context& context);
  void OnHeldReply(const membership::NodeId& from, const HeldReply& reply);
  // A push that carries the token of the current recheck shows which entries its sender holds.
  void OnPush(const Context& context, const EntriesPush& push);
  void OnUnreachable(const membership::NodeId& id);

 private:
  struct Answer {
    Offset held = 0;
    bool ready = false;
  };

  void RunStarting(const Context& context);
  void RunRecheck(const Context& context);
  void QueryZone(const Context& context);
  std::set<membership::NodeId> KnownZoneMembers();
  // Rule (b): the highest offset in the replies of the zone, once enough members have replied to
  // prove it.
  std::optional<Offset> OffsetProvenByZone();
  bool ReachedTarget() const;

  const Options& options;
  Topology& topology;
  const Replica& replica;
  const LogFollower& log;
  EntryExchange& exchange;
  utils::Random& random;

  Phase phase = Phase::kStarting;
  std::optional<utils::Timestamp> started_at;
  utils::Timestamp last_run{};
  std::optional<Offset> target;
  utils::Timestamp next_query{};
  bool querying = false;
  std::map<membership::NodeId, Answer> answers;
  std::set<membership::NodeId> reported_members;

  std::set<membership::NodeId> recheck_peers;
  utils::Timestamp recheck_deadline{};
  // Identifies responses to the requests sent after the last pause.
  std::uint32_t recheck_token = 0;
  // Offset reported by the first response; it must be in force here before the node is ready again.
  std::optional<Offset> recheck_target;
  std::uint64_t recheck_reads = 0;
};

}  // namespace amaranthlatch::distribution::details
