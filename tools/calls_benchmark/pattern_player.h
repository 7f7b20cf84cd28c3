// Plays load patterns: the calls reducers of all nodes on simulated time, with fakes of messages,
// links, backend servers and callers. Membership and transport are not simulated.

#pragma once

#include <cstdint>

#include "load_pattern.h"
#include "pattern_result.h"

namespace amaranthlatch::calls::benchmark {

struct PlayOptions {
  // Factor of all call rates.
  double load = 1.0;
  std::uint64_t seed = 1;
  // Time in which calls are made; 0 takes that of the pattern.
  double seconds = 0.0;
  // Adaptive concurrency limit of the gates, which register mode disables.
  bool adaptive_limit = false;
};

PatternResult PlayPattern(const LoadPattern& pattern, const PlayOptions& options);

}  // namespace amaranthlatch::calls::benchmark
