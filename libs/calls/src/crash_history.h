// Finds the one request that two recent crashes of a service have in common.
//
// Copies of a request that crashes servers may run at two of them before the first report has
// spread. A third server need not end on trial if nothing else can have caused both crashes.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "amaranthlatch/calls/message.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls::details {

class CrashHistory {
 public:
  // Adds a crash. Returns the fingerprint that is the only one in the intersection of its
  // candidates with those of an earlier crash at another gate; empty if there is none.
  std::optional<std::uint64_t> Add(const CrashReport& report, utils::Timestamp now);

 private:
  // Sorted, and only with the candidates.
  struct Crash {
    CrashReport report;
    utils::Timestamp at{};
  };

  std::deque<Crash> crashes;
};

// Fingerprints of requests that were completed lately, here or, as far as reported, elsewhere.
class CompletedRequests {
 public:
  void Record(std::uint64_t fingerprint, utils::Timestamp now);
  bool Contains(std::uint64_t fingerprint, utils::Timestamp now) const;

 private:
  struct Slot {
    std::uint64_t fingerprint = 0;
    utils::Timestamp at{};
  };
  // A newer fingerprint replaces an older one with the same remainder. Empty before the first.
  std::vector<Slot> slots;
};

}  // namespace amaranthlatch::calls::details
