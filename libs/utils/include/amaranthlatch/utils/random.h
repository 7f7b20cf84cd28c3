// Seeded random numbers for the reducers: the same seed gives the same run on every machine.

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

  // Uniform in [0, bound); bound must be above 0. The modulo bias is below 2^-40 for bounds up to
  // 2^24 and does not matter for jitter and choice.
  std::uint64_t Below(std::uint64_t bound) { return this->engine() % bound; }

  // Uniform in [0, 1).
  double Unit();

  // True with the given probability.
  bool Chance(double probability) { return this->Unit() < probability; }

  // Uniform in [0, limit).
  Duration Jitter(Duration limit);

  template <typename T>
  void Shuffle(std::vector<T>& values) {
    for (std::size_t i = values.size(); i > 1; --i) {
      std::swap(values[i - 1], values[this->Below(i)]);
    }
  }

 private:
  std::mt19937_64 engine;
};

}  // namespace amaranthlatch::utils
