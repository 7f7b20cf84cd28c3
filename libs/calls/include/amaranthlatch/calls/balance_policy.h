// How a call chooses between the backend servers of one locality level.

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/random.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls {

// How far a backend server is from this node.
enum class Distance : std::uint8_t { kZone, kRegion, kOtherRegion };

// What this node knows of a backend server by its own calls.
struct Candidate {
  const membership::Member* member = nullptr;
  std::uint32_t in_flight = 0;
  // Moving average in microseconds; 0 before the first answer.
  double latency_us = 0.0;
  // Recent refusals and failures, halved with time.
  double failure_score = 0.0;
  // Share of its work that a newly started backend server takes, above 0 and up to 1.
  double slow_start_factor = 1.0;
  // Calls in its slots and queues as it last reported.
  std::uint32_t reported_load = 0;
  // Calls that go before a new one of its class: as last reported and sent since, or else as sent
  // by this node.
  std::uint32_t calls_ahead = 0;
  Distance distance = Distance::kZone;
};

class BalancePolicy {
 public:
  virtual ~BalancePolicy() = default;

  // Whether the policy weighs the distance itself and takes all levels at once.
  virtual bool WeighsDistance() const { return false; }

  // Time that a call would wait at the candidate before it runs; zero where the policy does not
  // tell.
  virtual utils::Duration ExpectedWait(const Candidate& /*candidate*/) const { return {}; }

  // Index of the chosen candidate; `candidates` is not empty.
  virtual std::size_t Choose(std::span<const Candidate> candidates, utils::Random& random) = 0;
};

// The better of two random candidates.
class PowerOfTwoPolicy : public BalancePolicy {
 public:
  std::size_t Choose(std::span<const Candidate> candidates, utils::Random& random) override;
};

// Lowest expected time to an answer, where crossing a zone or a region counts as time: a call
// leaves its zone only when it would wait longer there than the transfer is worth.
class ExpectedTimePolicy : public BalancePolicy {
 public:
  struct Costs {
    // Time that the transfer of one call is worth.
    utils::Duration cross_zone = utils::Milliseconds(20);
    utils::Duration cross_region = utils::Milliseconds(150);
    // Time that a recent fault is worth.
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

// Any candidate; the baseline for measurements.
class RandomPolicy : public BalancePolicy {
 public:
  std::size_t Choose(std::span<const Candidate> candidates, utils::Random& random) override;
};

}  // namespace amaranthlatch::calls
