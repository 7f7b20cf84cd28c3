// Limits and defaults of service documents. The limits bound the memory and processing time that
// one document takes at a node, and appear in the error messages shown to operators.

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

// The inclusive range of a numeric field, and the value used if the field is absent.
struct NumberRange {
  std::uint64_t low = 0;
  std::uint64_t high = 0;
  std::uint64_t default_value = 0;
};

inline constexpr NumberRange kWeightRange = {0, 10'000, 0};
inline constexpr NumberRange kDeadlineMsRange = {1, 600'000, 5'000};
inline constexpr NumberRange kMaxRequestBytesRange = {0, 64ULL * 1024 * 1024, 1024ULL * 1024};
inline constexpr NumberRange kMaxResponseBytesRange = {0, 64ULL * 1024 * 1024, 1024ULL * 1024};
inline constexpr NumberRange kSlotsRange = {1, 10'000, 20};
inline constexpr NumberRange kConnectionsRange = {1, 100'000, 110};
inline constexpr NumberRange kQueueLengthRange = {0, 100'000, 100};
inline constexpr NumberRange kQueueMsRange = {0, 600'000, 500};
inline constexpr NumberRange kRetryBudgetPercentRange = {0, 100, 10};
inline constexpr NumberRange kMaxAttemptsRange = {1, 10, 3};
inline constexpr NumberRange kSlowStartMsRange = {0, 600'000, 10'000};
inline constexpr NumberRange kSpillLoadPercentRange = {1, 100, 80};

}  // namespace amaranthlatch::document
