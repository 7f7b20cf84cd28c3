// Compares what the old and the new version of a service answered, per route and over the same
// seconds.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "amaranthlatch/rollout/effect.h"
#include "amaranthlatch/rollout/message.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::rollout::details {

// Four buckets per doubling, from 100 us to about 5 min.
inline constexpr std::size_t kLatencyBuckets = 88;

std::size_t BucketOf(utils::Duration latency);
// In microseconds; a bucket ends where the next one starts.
double BucketStart(std::size_t bucket);

// Probability of at least `k` hits in `n` trials with probability `p` each. 1 if `k` does not
// exceed the expected number.
double BinomialTail(std::uint64_t n, std::uint64_t k, double p);

// Answers of one version on a route within some time.
struct Sample {
  std::uint64_t answers = 0;
  std::uint64_t failures = 0;
  // Sum of `latencies`.
  std::uint64_t timed = 0;
  std::array<std::uint32_t, kLatencyBuckets> latencies{};

  void Add(const RouteCounters& delta);
};

// A version found bad, and the figures that show it.
struct Finding {
  Reason reason = Reason::kNone;
  // Empty for all routes together.
  std::string route;
  std::uint64_t answers = 0;
  std::uint64_t failures = 0;
  std::uint64_t old_answers = 0;
  std::uint64_t old_failures = 0;
  utils::Duration median{};
  utils::Duration old_median{};
};

class Evidence {
 public:
  // `canary_share`: share of the requests that the new version may run at first.
  explicit Evidence(double canary_share) : canary_share(canary_share) {}

  // Adds what a process has counted since its previous report. Slices are consecutive intervals of
  // time; slice 0 holds what was counted at unknown times.
  void Add(bool is_new, std::size_t slice, const RouteCounters& delta);

  // Whether the new version is bad over all slices, or over those from `recent` on: a version that
  // turns bad late would otherwise be judged by its good start.
  std::optional<Finding> FindFault(std::size_t recent) const;
  // Whether the new version may turn out to be bad with some more answers.
  bool IsSuspicious(std::size_t recent) const;
  // Whether the new version has answered enough calls without looking like a bad one. If `is_late`,
  // single routes may fail as often as those of a bad version: in a service that fails often, one
  // of its routes does by chance.
  bool IsSufficient(bool is_late) const;
  // Figures of all routes together, without a finding.
  Finding Totals() const;

 private:
  struct Slice {
    Sample old_version;
    Sample new_version;
  };
  struct Route {
    std::vector<Slice> slices;
    // Sums of the slices.
    Sample old_version;
    Sample new_version;
  };
  // The new version's answers and what they would be if it were no worse than allowed.
  struct Comparison {
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    // Failures that the old version's rates would give, and the sum of the largest failure
    // probabilities that are allowed.
    double expected_failures = 0.0;
    double allowed_failures = 0.0;
    std::uint64_t timed = 0;
    // Answers above the factor times the median and the upper quartile of the old version.
    std::uint64_t above_median = 0;
    std::uint64_t above_quartile = 0;
    std::uint64_t old_answers = 0;
    std::uint64_t old_failures = 0;
    double median = 0.0;
    double old_median = 0.0;

    void Add(const Comparison& other);
  };

  Comparison Compare(const Route& route, std::size_t first) const;
  // The earliest slice with answers of the new version. Those before it, or before the canaries of
  // a coordinator that was lost with them, say nothing of what could be expected.
  std::size_t FirstSliceOfNewVersion() const;
  // What has to be seen for a finding.
  struct Criteria {
    std::uint64_t min_failures = 0;
    double failure_significance = 0.0;
    std::uint64_t min_timed = 0;
    double latency_significance = 0.0;
  };
  static constexpr Criteria kFault{5, 1e-4, 15, 1e-3};
  static constexpr Criteria kSuspicion{3, 1e-2, 5, 5e-2};

  std::optional<Finding> Find(std::size_t recent, const Criteria& criteria) const;
  static Reason Judge(const Comparison& comparison, const Criteria& criteria);
  // Whether the failures do not fit a bad version.
  static bool IsCleared(const Comparison& comparison);
  static Finding ToFinding(Reason reason, const std::string& name, const Comparison& comparison);

  double canary_share;
  std::map<std::string, Route, std::less<>> routes;
  std::uint64_t old_answers = 0;
  std::uint64_t old_failures = 0;
};

}  // namespace amaranthlatch::rollout::details
