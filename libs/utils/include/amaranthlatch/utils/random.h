// Seeded pseudo-random numbers for the reducers. A seed yields the same sequence on every machine,
// so that a run can be reproduced.

#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::utils {

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine(seed) {}

  std::uint64_t Next() { return this->engine(); }

  // Uniform integer in [0, bound); bound must be positive. The modulo bias is below 2^-40 for
  // bounds up to 2^24, which is negligible for jitter and random selection.
  std::uint64_t Uniform(std::uint64_t bound) { return this->engine() % bound; }

  // Uniform real number in [0, 1).
  double UniformReal();

  // Returns true with the given probability.
  bool Bernoulli(double probability) { return this->UniformReal() < probability; }

  // Uniform duration in [0, limit), or zero if limit is not positive.
  Duration Jitter(Duration limit);

  template <typename T>
  void Shuffle(std::vector<T>& values) {
    for (std::size_t i = values.size(); i > 1; --i) {
      std::swap(values[i - 1], values[this->Uniform(i)]);
    }
  }

 private:
  std::mt19937_64 engine;
};

}  // namespace amaranthlatch::utils
