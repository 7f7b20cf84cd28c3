// How a call chooses between the backend servers of one locality level.

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/random.h"

namespace amaranthlatch::calls {

// What this node knows of a backend server by its own calls.
struct Candidate {
  const membership::Member* member = nullptr;
  std::uint32_t in_flight = 0;
  // Moving average in microseconds; 0 before the first answer.
  double latency_us = 0.0;
  // Recent refusals and failures, halved with time.
  double faults = 0.0;
  // Share of its work that a newly started backend server takes, above 0 and up to 1.
  double warmth = 1.0;
  // Calls in its slots and queues as it last reported.
  std::uint32_t reported_load = 0;
};

class BalancePolicy {
 public:
  virtual ~BalancePolicy() = default;

  // Index of the chosen candidate; `candidates` is not empty.
  virtual std::size_t Choose(std::span<const Candidate> candidates, utils::Random& random) = 0;
};

// The better of two random candidates.
class PowerOfTwoPolicy : public BalancePolicy {
 public:
  std::size_t Choose(std::span<const Candidate> candidates, utils::Random& random) override;
};

// Any candidate; the baseline for measurements.
class RandomPolicy : public BalancePolicy {
 public:
  std::size_t Choose(std::span<const Candidate> candidates, utils::Random& random) override;
};

}  // namespace amaranthlatch::calls
