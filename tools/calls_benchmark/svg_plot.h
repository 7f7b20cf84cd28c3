// Plot of the goodput of each call type by second.

#pragma once

#include <string>

#include "pattern_player.h"

namespace amaranthlatch::calls::benchmark {

// Solid lines: answered in time; dashed: offered.
std::string GoodputPlot(const PatternResult& result);

}  // namespace amaranthlatch::calls::benchmark
