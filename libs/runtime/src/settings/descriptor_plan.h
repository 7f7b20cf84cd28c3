// How the descriptors of a process are divided.

#pragma once

#include <cstddef>

namespace amaranthlatch::runtime::details {

// Links to peers that a node keeps in register mode.
inline constexpr std::size_t kMaxLinks = 512;

// What is left for the connections of callers.
std::size_t CallerDescriptors(std::size_t max_descriptors);

}  // namespace amaranthlatch::runtime::details
