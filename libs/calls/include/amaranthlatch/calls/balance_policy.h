// Load balancing policies: each selects one backend server from a set of candidates.

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/random.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls {

// Locality of a backend server relative to this node.
enum class Distance : std::uint8_t { kInstance, kZone, kRegion, kOtherRegion };

// A backend server with the state that this node has observed or received about it.
struct Candidate {
  const membership::Member* member = nullptr;
  std::uint32_t in_flight = 0;
  // Moving average of the latency in microseconds; 0 before the first answer.
  double latency_us = 0.0;
  // Moving average of the time at the backend server alone, for calls of the same route, in
  // microseconds; 0 if it is not known.
  double service_time_us = 0.0;
  // Number of recent refusals and failures, with exponential decay.
  double failure_score = 0.0;
  // Share of its normal load that a newly started backend server receives, in (0, 1].
  double slow_start_factor = 1.0;
  // Running calls plus queued calls that precede a new one of this priority, as last reported.
  std::uint32_t reported_load = 0;
  // Calls that run before a new one of its priority: the last report plus calls sent since, or
  // this node's own calls in flight if there is no recent report.
  std::uint32_t calls_ahead = 0;
  // Age of the load report in microseconds; 0 without a recent one.
  double report_age_us = 0.0;
  // Time in microseconds that a new call of this priority waits for a slot, as last reported.
  double reported_wait_us = 0.0;
  // Time that the answer waits for the link of the backend server's instance, in microseconds, as
  // last reported; 0 if the answer uses no link or is small.
  double link_wait_us = 0.0;
  Distance distance = Distance::kZone;
};

class BalancePolicy {
 public:
  virtual ~BalancePolicy() = default;

  // Whether the policy accounts for distance itself and expects all locality levels in one set.
  virtual bool WeighsDistance() const { return false; }

  // Estimated time that a new call at the candidate waits for a slot, and its answer for the link;
  // zero if the policy has no estimate.
  virtual utils::Duration ExpectedWait(const Candidate& /*candidate*/) const { return {}; }

  // Returns the index of the chosen candidate. `candidates` must not be empty.
  virtual std::size_t Choose(std::span<const Candidate> candidates, utils::Random& random) = 0;
};

// Compares two random candidates and chooses the less expensive one.
class PowerOfTwoPolicy : public BalancePolicy {
 public:
  std::size_t Choose(std::span<const Candidate> candidates, utils::Random& random) override;
};

// Chooses the lowest expected cost in time. Leaving the instance, the zone or the region adds a
// fixed cost, so a call leaves them only if the wait there exceeds the cost of the transfer.
class ExpectedTimePolicy : public BalancePolicy {
 public:
  struct Costs {
    // Added to the expected wait of a candidate on another instance of the zone: a call to the
    // backend server of this instance costs no messages, which take processor time of two nodes.
    utils::Duration cross_instance = utils::Milliseconds(10);
    // Added instead for a candidate in another zone or region.
    utils::Duration cross_zone = utils::Milliseconds(30);
    utils::Duration cross_region = utils::Milliseconds(150);
    // Added for each recent failure of the candidate.
    utils::Duration failure = utils::Milliseconds(150);
  };

  explicit ExpectedTimePolicy(const Costs& costs) : costs(costs) {}

  bool WeighsDistance() const override { return true; }
  utils::Duration ExpectedWait(const Candidate& candidate) const override;
  std::size_t Choose(std::span<const Candidate> candidates, utils::Random& random) override;

 private:
  double ExpectedCostUs(const Candidate& candidate) const;

  const Costs costs;
};

// Chooses uniformly at random; the baseline for benchmarks.
class RandomPolicy : public BalancePolicy {
 public:
  std::size_t Choose(std::span<const Candidate> candidates, utils::Random& random) override;
};

}  // namespace amaranthlatch::calls
