// Prints as JSON the cost per event of membership and acceptance at growing sizes.

#include <malloc.h>

#include <iostream>

#include "benchmark.h"

namespace amaranthlatch::benchmark {

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

}  // namespace amaranthlatch::benchmark

int main() {
  using amaranthlatch::benchmark::MeasureAcceptance;
  using amaranthlatch::benchmark::MeasureMembership;
  nlohmann::json report;
  for (const std::size_t members : {1'000, 2'000, 5'000, 10'000, 19'000}) {
    report["membership"].push_back(MeasureMembership(members));
  }
  for (const std::size_t services : {50, 200, 600, 1'200}) {
    report["acceptance"].push_back(MeasureAcceptance(services));
  }
  std::cout << report.dump(2) << '\n';
  return 0;
}
