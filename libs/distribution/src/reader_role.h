// Selects the nodes that read the log for their region and handles takeover between them.

#pragma once

#include <optional>

#include "amaranthlatch/distribution/counters.h"
#include "amaranthlatch/distribution/options.h"
#include "context.h"
#include "topology.h"

namespace amaranthlatch::distribution::details {

class ReaderRole {
 public:
  ReaderRole(const Options& options, Topology& topology, Counters& counters)
      : options(options), topology(topology), counters(counters) {}

  // Updates and returns whether this node reads the log. The first candidate always does; a later
  // one does when heartbeats of up-to-date earlier candidates have been missing for its takeover
  // delay. A redundant reader costs only bandwidth.
  bool Update(const Context& context);
  bool Active() const { return this->active; }
  std::optional<std::size_t> Rank() const { return this->rank; }

  void OnHeartbeat(const Context& context, const membership::NodeId& from,
                   const ReaderHeartbeat& heartbeat, Offset held);

  // Sends heartbeats to the other candidates while active.
  void Run(const Context& context, Offset held, bool following);
  std::optional<utils::Timestamp> NextWake() const;

  // Restarts the takeover delay: missing heartbeats during a pause of this node do not indicate
  // that other readers failed.
  void OnPause(utils::Timestamp now) { this->takeover_delay_start = now; }

 private:
  utils::Duration TakeoverDelay() const;

  const Options& options;
  Topology& topology;
  Counters& counters;
  std::optional<std::size_t> rank;
  bool active = false;
  utils::Timestamp takeover_delay_start{};
  utils::Timestamp next_heartbeat{};
};

}  // namespace amaranthlatch::distribution::details
