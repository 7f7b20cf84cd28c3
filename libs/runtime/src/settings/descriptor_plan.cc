// What the other parts of the process need at most.

#include "settings/descriptor_plan.h"

#include <algorithm>

namespace amaranthlatch::runtime::details {

namespace {

// Reserved by the platform for files.
constexpr std::size_t kFiles = 200;
// To and from each peer. A lost link may still be closing while its successor is made, and a dial
// that takes long is probed by a connection of its own.
constexpr std::size_t kLinks = 2 * kMaxLinks + 256;
constexpr std::size_t kBackendServer = 256;
constexpr std::size_t kRegister = 8;
// Of the ready, control and admin addresses, with those above their limit that get a refusal.
constexpr std::size_t kControl = std::size_t{3} * (32 + 64);
// Connections of callers above the limit that get a refusal, and those that are closed slowly.
constexpr std::size_t kRefusals = 64 + 64;
// Listeners, timers, wake-ups between threads, standard streams.
constexpr std::size_t kProcess = 64;
constexpr std::size_t kOthers =
    kFiles + kLinks + kBackendServer + kRegister + kControl + kRefusals + kProcess;
// A node with fewer descriptors still serves some callers.
constexpr std::size_t kMinCallers = 64;

}  // namespace

std::size_t CallerDescriptors(std::size_t max_descriptors) {
  return max_descriptors > kOthers + kMinCallers ? max_descriptors - kOthers : kMinCallers;
}

}  // namespace amaranthlatch::runtime::details
