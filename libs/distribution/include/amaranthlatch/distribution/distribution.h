// The distribution reducer: follows the log, passes entries through the mesh and decides what is
// in force on this node.

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

  // Before the first event this is the start of the clock, that is: wake up at once.
  std::optional<utils::Timestamp> NextWake() const;

  // The state that routing uses. It may be served only while Ready().
  const acceptance::State& InForce() const;

  // Highest offset that this node has received without gaps; never falls.
  Offset HeldOffset() const;

  bool Ready() const;

  // Why the node is not ready; empty when it is.
  std::string NotReadyReason() const;

  // Highest head that this node has seen in an answer of the log; 0 for none.
  Offset LogHead() const;

  // Offset of a record of unknown format at which the fold has stopped.
  std::optional<Offset> StoppedAt() const;

  const Counters& GetCounters() const;

 private:
  struct Impl;
  explicit Distribution(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl;
};

}  // namespace amaranthlatch::distribution
