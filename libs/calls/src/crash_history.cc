// Intersections of short sorted lists, and a table indexed by fingerprint.

#include "crash_history.h"

#include <algorithm>
#include <iterator>

namespace amaranthlatch::calls::details {

namespace {
// Copies that started before a report arrived end within their deadlines.
constexpr utils::Duration kHistoryTime = utils::Seconds(10);
constexpr std::size_t kMaxCrashes = 32;
// Slots for completed requests; 64 KiB.
constexpr std::size_t kCompletedSlots = 4'096;
constexpr utils::Duration kCompletedTime = utils::Seconds(60);
}  // namespace

std::optional<std::uint64_t> CrashHistory::Add(const CrashReport& report, utils::Timestamp now) {
  while (!this->crashes.empty() &&
         (now - this->crashes.front().at > kHistoryTime || this->crashes.size() >= kMaxCrashes)) {
    this->crashes.pop_front();
  }
  Crash crash{report, now};
  std::vector<std::uint64_t>& candidates = crash.report.candidates;
  std::sort(candidates.begin(), candidates.end());
  std::optional<std::uint64_t> found;
  for (const Crash& earlier : this->crashes) {
    if (earlier.report.service != report.service || earlier.report.gate == report.gate) {
      continue;
    }
    std::vector<std::uint64_t> common;
    std::set_intersection(candidates.begin(), candidates.end(), earlier.report.candidates.begin(),
                          earlier.report.candidates.end(), std::back_inserter(common));
    if (common.size() == 1) {
      found = common.front();
    }
  }
  this->crashes.push_back(std::move(crash));
  return found;
}

void CompletedRequests::Record(std::uint64_t fingerprint, utils::Timestamp now) {
  this->slots.resize(kCompletedSlots);
  this->slots[fingerprint % kCompletedSlots] = Slot{fingerprint, now};
}

bool CompletedRequests::Contains(std::uint64_t fingerprint, utils::Timestamp now) const {
  if (this->slots.empty()) {
    return false;
  }
  const Slot& slot = this->slots[fingerprint % kCompletedSlots];
  return slot.fingerprint == fingerprint && slot.at != utils::Timestamp{} &&
         now - slot.at <= kCompletedTime;
}

}  // namespace amaranthlatch::calls::details
