// Distribution reducer: reads the configuration log, replicates its entries between nodes and
// decides which of them are in force on this node.

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "amaranthlatch/acceptance/state.h"
#include "amaranthlatch/distribution/counters.h"
#include "amaranthlatch/distribution/effect.h"
#include "amaranthlatch/distribution/event.h"
#include "amaranthlatch/distribution/options.h"
#include "amaranthlatch/membership/member_view.h"
#include "amaranthlatch/utils/result.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::distribution {

class Distribution {
 public:
  static utils::Result<Distribution> Create(Options options);

  Distribution(Distribution&&) noexcept;
  Distribution& operator=(Distribution&&) noexcept;
  ~Distribution();

  std::vector<Effect> Reduce(const Event& event, utils::Timestamp now,
                             const membership::MemberView& members);

  // Time at which WakeUp is due. Before the first event this is the epoch of the clock, so that the
  // first wake-up is immediate.
  std::optional<utils::Timestamp> NextWake() const;

  // State used for routing; valid only while Ready().
  const acceptance::State& InForce() const;

  // Highest offset received without gaps; never decreases.
  Offset Held() const;

  bool Ready() const;

  // Why the node is not ready; empty if it is ready.
  std::string Reason() const;

  // Highest head reported by the log so far; 0 before the first response.
  Offset LogHead() const;

  // Offset of the record of unknown format at which entry application stopped, if any.
  std::optional<Offset> StoppedAt() const;

  const Counters& GetCounters() const;

 private:
  struct Impl;
  explicit Distribution(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl;
};

}  // namespace amaranthlatch::distribution
