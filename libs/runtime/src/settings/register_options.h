// Options of a node in register mode from its settings.

#pragma once

#include <cstdint>

#include "amaranthlatch/node/register_node.h"
#include "amaranthlatch/runtime/nng_transport.h"
#include "amaranthlatch/runtime/register_settings.h"
#include "settings/memory_plan.h"

namespace amaranthlatch::runtime::details {

// Time after the last answer in which it leaves the process.
inline constexpr utils::Duration kFlushTime = utils::Milliseconds(100);
// Left over from the shutdown limit for the end of the process itself.
inline constexpr utils::Duration kExitTime = utils::Milliseconds(300);

node::RegisterNodeOptions MakeRegisterNodeOptions(const RegisterSettings& settings,
                                                  std::uint64_t seed, std::uint64_t boot_id);

directory::ServiceDefaults MakeServiceDefaults(const RegisterSettings& settings);

NngTransportOptions MakeTransportOptions(const RegisterSettings& settings,
                                         const MemoryPlan& memory);

MemoryPlan PlanMemory(const RegisterSettings& settings);

// The connections of callers for which the process has descriptors, and no more than the settings
// allow.
std::size_t MaxCallerConnections(const RegisterSettings& settings);

}  // namespace amaranthlatch::runtime::details
