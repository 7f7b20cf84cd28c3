// Limits and defaults of service documents. They bound the memory and processing time of one
// document at a node, and appear in the error messages shown to operators.

#pragma once

#include <cstddef>
#include <cstdint>

namespace amaranthlatch::document {

// The document format that this release supports.
inline constexpr std::uint64_t kDocumentFormat = 1;

inline constexpr std::size_t kMaxDocumentBytes = 256ULL * 1024;
// Prevents stack overflow in recursive traversal; a valid record nests fewer than 10 levels.
inline constexpr std::size_t kMaxJsonDepth = 32;

inline constexpr std::size_t kMaxNameLength = 63;
inline constexpr std::size_t kMaxOwnerLength = 128;
inline constexpr std::size_t kMaxHostLength = 253;
inline constexpr std::size_t kMaxPathPrefixLength = 512;
inline constexpr std::size_t kMaxMethodLength = 20;
inline constexpr std::size_t kMaxLabelLength = 128;

inline constexpr std::size_t kMaxHosts = 64;
inline constexpr std::size_t kMaxVersions = 32;
inline constexpr std::size_t kMaxLabels = 16;
inline constexpr std::size_t kMaxRoutes = 256;
inline constexpr std::size_t kMaxMethods = 16;
inline constexpr std::size_t kMaxSplitTargets = 16;

// An inclusive range of a numeric field, and its value if the field is absent.
struct NumberRule {
  std::uint64_t low = 0;
  std::uint64_t high = 0;
  std::uint64_t default_value = 0;
};

inline constexpr NumberRule kWeight = {0, 10'000, 0};
inline constexpr NumberRule kDeadlineMs = {1, 600'000, 5'000};
inline constexpr NumberRule kMaxRequestBytes = {0, 64ULL * 1024 * 1024, 1024ULL * 1024};
inline constexpr NumberRule kMaxResponseBytes = {0, 64ULL * 1024 * 1024, 1024ULL * 1024};
inline constexpr NumberRule kSlots = {1, 10'000, 20};
inline constexpr NumberRule kConnections = {1, 100'000, 110};
inline constexpr NumberRule kQueueLength = {0, 100'000, 100};
inline constexpr NumberRule kQueueMs = {0, 600'000, 500};
inline constexpr NumberRule kRetryBudgetPercent = {0, 100, 10};
inline constexpr NumberRule kMaxAttempts = {1, 10, 3};
inline constexpr NumberRule kSlowStartMs = {0, 600'000, 10'000};
inline constexpr NumberRule kSpillLoadPercent = {1, 100, 80};

}  // namespace amaranthlatch::document
