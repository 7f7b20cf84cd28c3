// Shares and copies.

#include "settings/memory_plan.h"

#include <unistd.h>

#include <algorithm>

namespace amaranthlatch::runtime::details {

namespace {

constexpr std::uint64_t kMebibyte = std::uint64_t{1} << 20U;
// Code, tables, links and connections without the bytes that are counted.
constexpr std::uint64_t kBaseBytes = 48 * kMebibyte;
constexpr std::uint64_t kBaseConnections = 3000;
// An idle connection of a caller takes 7.5 KB.
constexpr std::uint64_t kConnectionBytes = 8192;
constexpr std::uint64_t kMinBytes = 16 * kMebibyte;
// A request of another node: its frame, message, queued call and the client's copy.
constexpr std::uint64_t kRunCopies = 4;
// A growing answer: twice its size while it moves, and the answer and message made of it.
constexpr std::uint64_t kAnswerCopies = 4;
// A message that waits for the link, and one that is being received.
constexpr std::uint64_t kLinkCopies = 2;
// Shares of what is left beside the base.
constexpr std::uint64_t kRequestShare = 7;
constexpr std::uint64_t kRunShare = 3;
constexpr std::uint64_t kAnswerShare = 4;
constexpr std::uint64_t kRegisterShare = 2;
constexpr std::uint64_t kLinkShare = 2;
constexpr std::uint64_t kShares =
    kRequestShare + kRunShare + kAnswerShare + kRegisterShare + kLinkShare;

std::uint64_t MachineBytes() {
  const auto pages = sysconf(_SC_PHYS_PAGES);
  const auto page_bytes = sysconf(_SC_PAGESIZE);
  return pages > 0 && page_bytes > 0
             ? static_cast<std::uint64_t>(pages) * static_cast<std::uint64_t>(page_bytes)
             : UINT64_MAX;
}

}  // namespace

MemoryPlan MakeMemoryPlan(std::uint64_t limit, std::uint64_t connections) {
  return DivideMemory(std::min(limit, MachineBytes()), connections);
}

MemoryPlan DivideMemory(std::uint64_t limit, std::uint64_t connections) {
  const std::uint64_t more = std::max(connections, kBaseConnections) - kBaseConnections;
  const std::uint64_t base = kBaseBytes + more * kConnectionBytes;
  const std::uint64_t free = limit > base + kMinBytes ? limit - base : kMinBytes;
  const std::uint64_t share = free / kShares;
  return {share * kRequestShare / kRequestCopies, share * kRunShare / kRunCopies,
          share * kAnswerShare / kAnswerCopies, share * kRegisterShare / kAnswerCopies,
          share * kLinkShare / kLinkCopies};
}

}  // namespace amaranthlatch::runtime::details
