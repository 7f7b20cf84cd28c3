// Times of the protocol that do not depend on the duration of the order.

#pragma once

#include <algorithm>
#include <cstddef>

#include "amaranthlatch/rollout/options.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::rollout::details {

// 1.5 s: for how long an allowance may be used after the report that the directive answered.
inline utils::Duration LeaseTime(const Options& options) { return options.rollback * 3 / 10; }
// 1 s: without an answer for so long, a coordinator is replaced.
inline utils::Duration SilenceTime(const Options& options) { return options.rollback / 5; }
// 0.5 s: without an answer for so long, a node that is not known to coordinate is passed over. It
// answers at once, so that a failed one is found faster than a silent coordinator.
inline utils::Duration CandidateTime(const Options& options) { return options.rollback / 10; }
// 0.5 s: how long a coordinator that replaces another one collects reports, to learn the phase and
// the stop, before it sends directives.
inline utils::Duration CollectTime(const Options& options) { return options.rollback / 10; }
// 2 s: a participant that has reported within this time is expected to receive what is pushed.
inline utils::Duration FreshTime(const Options& options) { return options.rollback * 2 / 5; }
// 4 s: latest answers that are judged by themselves.
inline utils::Duration RecentTime(const Options& options) { return options.rollback * 4 / 5; }
// 10 s and 1 s: for how long a node is not asked again that gave no answer, or that cannot claim.
inline utils::Duration SilentAvoidance(const Options& options) { return 2 * options.rollback; }
inline utils::Duration RefusalAvoidance(const Options& options) { return options.rollback / 5; }
// 3 s: a node that says it claims the order is passed over without a directive within this time.
inline utils::Duration ClaimPatience(const Options& options) { return options.rollback * 3 / 5; }

// 0.7 s and 1.4 s: a coordinator that hears most participants refreshes its claim at this interval.
// Before its claim is as old as the latter, a node that finds it silent takes itself for cut off.
inline utils::Duration RefreshInterval(const Options& options) { return options.rollback * 7 / 50; }
inline utils::Duration StaleClaimAge(const Options& options) { return options.rollback * 7 / 25; }

// A WakeUp that is later than this shows that the process was paused: what it knows may be
// outdated, and messages that it handles now may have waited as long.
inline constexpr utils::Duration kMaxWakeDelay = utils::Milliseconds(500);

inline utils::Duration ReportInterval(const Options& options, std::size_t members) {
  return std::max(options.min_report_interval,
                  options.report_interval_per_member * static_cast<utils::Duration::rep>(members));
}

// The time of a rollout that has elapsed, as the highest value known to any node.
class ElapsedTime {
 public:
  ElapsedTime() = default;
  ElapsedTime(utils::Duration elapsed, utils::Timestamp now) : elapsed(elapsed), at(now) {}

  utils::Duration At(utils::Timestamp now) const { return this->elapsed + (now - this->at); }
  void Raise(utils::Duration known, utils::Timestamp now) {
    this->elapsed = std::max(known, this->At(now));
    this->at = now;
  }

 private:
  utils::Duration elapsed{};
  utils::Timestamp at{};
};

}  // namespace amaranthlatch::rollout::details
