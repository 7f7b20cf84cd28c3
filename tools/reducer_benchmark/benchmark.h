// Cost per event of the reducers against their size.

#pragma once

#include <chrono>
#include <cstddef>
#include <nlohmann/json.hpp>

namespace amaranthlatch::benchmark {

// Bytes of the heap in use.
std::size_t HeapBytes();

// Mean time of one call in microseconds.
template <typename Action>
double MeasureMicroseconds(std::size_t repeats, Action&& action) {
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < repeats; ++i) {
    action(i);
  }
  const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - start;
  return spent.count() / static_cast<double>(repeats);
}

nlohmann::json MeasureMembership(std::size_t members);
nlohmann::json MeasureAcceptance(std::size_t services);

}  // namespace amaranthlatch::benchmark
