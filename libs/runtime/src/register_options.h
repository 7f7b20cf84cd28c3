// Options of a node in register mode from its settings.

#pragma once

#include <cstdint>

#include "amaranthlatch/node/register_node.h"
#include "amaranthlatch/runtime/register_settings.h"

namespace amaranthlatch::runtime::details {

node::RegisterNodeOptions MakeRegisterNodeOptions(const RegisterSettings& settings,
                                                  std::uint64_t seed, std::uint64_t boot_id);

directory::ServiceDefaults MakeServiceDefaults(const RegisterSettings& settings);

}  // namespace amaranthlatch::runtime::details
