// Load balancing policies: each selects one backend server from a set of candidates.

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "amaranthlatch/calls/candidate_ranking.h"
#include "amaranthlatch/calls/options.h"
#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/random.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls {

// Locality of a backend server relative to this node.
enum class Distance : std::uint8_t { kInstance, kZone, kRegion, kOtherRegion };

Distance DistanceOf(const membership::Member& self, const membership::Member& member);

// The distance group of CandidateRanking.
inline std::size_t GroupOf(Distance distance) {
  return distance <= Distance::kZone ? 0 : static_cast<std::size_t>(distance) - 1;
}

// Ratio to the mean time up to which the speed of a server counts as average. The ratios of equal
// servers vary by a tenth, and calls must not leave the own instance for that.
inline constexpr double kSpeedTolerance = 1.25;

// A backend server with the state that this node has observed or received about it.
struct Candidate {
  const membership::Member* member = nullptr;
  std::uint32_t in_flight = 0;
  // Moving average of the latency in microseconds; 0 before the first answer.
  double latency_us = 0.0;
  // Moving average of the time at the backend server alone, for calls of the same route, in
  // microseconds; 0 if it is not known.
  double service_time_us = 0.0;
  // Time of its calls relative to the mean of the service; 1 if it is not known.
  double speed_factor = 1.0;
  // Number of recent refusals and failures, with exponential decay.
  double failure_score = 0.0;
  // Whether the last of them was an attempt that did not reach the gate.
  bool is_unreachable = false;
  // Share of its normal load that a newly started backend server receives, in (0, 1].
  double slow_start_factor = 1.0;
  // Running calls plus queued calls that precede a new one of this priority, as last reported.
  std::uint32_t reported_load = 0;
  // Calls that run before a new one of its priority: the last report plus calls sent since, or
  // this node's own calls in flight if there is no recent report.
  std::uint32_t calls_ahead = 0;
  // Whether there is a recent load report, and its age in microseconds.
  bool has_report = false;
  double report_age_us = 0.0;
  // Time in microseconds that a new call of this priority waits for a slot, as last reported.
  double reported_wait_us = 0.0;
  // Time that the answer waits for the link of the backend server's instance, in microseconds, as
  // last reported; 0 if the answer uses no link or is small.
  double link_wait_us = 0.0;
  Distance distance = Distance::kZone;
};

// Whether a call with this expected wait would end after `budget`. One that finds a free slot is
// sent even if it takes too long: no other server of its kind would answer it earlier.
bool IsLate(const Candidate& candidate, utils::Duration wait, utils::Duration budget);

// What a call brings with it, wherever it goes.
struct CallProfile {
  // Kilobytes (1,000 bytes) of the request and the expected answer.
  double kilobytes = 0.0;
  // Weight of the costs per kilobyte, in (0, 1].
  double byte_weight = 1.0;
  // Mean time of such calls at the servers of the service, in microseconds; 0 if it is not known.
  double service_time_us = 0.0;
  // Time in which the answer is due.
  utils::Duration budget = utils::Duration::max();
};

class BalancePolicy {
 public:
  virtual ~BalancePolicy() = default;

  // Whether the policy accounts for distance itself and expects all locality levels in one set.
  virtual bool WeighsDistance() const { return false; }

  // Estimated time that a new call at the candidate waits for a slot, and its answer for the link;
  // zero if the policy has no estimate.
  virtual utils::Duration ExpectedWait(const Candidate& /*candidate*/) const { return {}; }

  // Whether the operator has set what crossing costs. If not, its defaults only delay crossing, and
  // a call that would otherwise be lost leaves whatever its target latency is.
  virtual bool PricesCrossing() const { return false; }

  // Ranks the candidates by distance group. Only for policies that account for distance.
  virtual CandidateRanking Rank(std::span<const Candidate> /*candidates*/,
                                const CallProfile& /*profile*/, utils::Random& /*random*/) const {
    return {};
  }

  // Returns the index of the chosen candidate. `candidates` must not be empty.
  virtual std::size_t Choose(std::span<const Candidate> candidates, utils::Random& random) = 0;
};

// Compares two random candidates and chooses the less expensive one.
class PowerOfTwoPolicy : public BalancePolicy {
 public:
  std::size_t Choose(std::span<const Candidate> candidates, utils::Random& random) override;
};

// Chooses one of the lowest expected costs in time. Leaving the instance, the zone or the region
// adds a cost, so a call leaves them only if the wait there exceeds the cost of the transfer.
class ExpectedTimePolicy : public BalancePolicy {
 public:
  struct Costs {
    // Added to the expected wait of a candidate on another instance of the zone: a call to the
    // backend server of this instance costs no messages, which take processor time of two nodes.
    utils::Duration cross_instance = utils::Milliseconds(10);
    // Added instead for a candidate in another zone or region.
    utils::Duration cross_zone = utils::Milliseconds(30);
    utils::Duration cross_region = utils::Milliseconds(150);
    // Added besides for each kilobyte of the request and the expected answer.
    utils::Duration cross_zone_per_kb{};
    utils::Duration cross_region_per_kb{};
    // Added for each recent failure of the candidate.
    utils::Duration failure = utils::Milliseconds(150);
  };

  // The default costs but for those of crossing.
  static Costs CostsOf(const CrossingOptions& options);

  explicit ExpectedTimePolicy(const Costs& costs) : costs(costs) {}

  bool WeighsDistance() const override { return true; }
  bool PricesCrossing() const override;
  utils::Duration ExpectedWait(const Candidate& candidate) const override;
  CandidateRanking Rank(std::span<const Candidate> candidates, const CallProfile& profile,
                        utils::Random& random) const override;
  std::size_t Choose(std::span<const Candidate> candidates, utils::Random& random) override;

 private:
  double CrossingCostUs(Distance distance, const CallProfile& profile) const;

  const Costs costs;
};

// Chooses uniformly at random; the baseline for benchmarks.
class RandomPolicy : public BalancePolicy {
 public:
  std::size_t Choose(std::span<const Candidate> candidates, utils::Random& random) override;
};

}  // namespace amaranthlatch::calls
