// Options of the reducers from the settings.

#pragma once

#include <cstdint>

#include "amaranthlatch/node/options.h"
#include "amaranthlatch/runtime/settings.h"

namespace amaranthlatch::runtime::details {

node::NodeOptions MakeNodeOptions(const Settings& settings, std::uint64_t seed,
                                  std::uint64_t boot_id, std::uint64_t wall_time_ms);

}  // namespace amaranthlatch::runtime::details
