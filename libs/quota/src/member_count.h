// The number of members that shares are computed from.
//
// While members are added, nodes list different numbers of them for some seconds. A node that
// counted fewer than there are would own more than its share, so the greatest number counts that
// this node or one of its peers listed lately.

#pragma once

#include <cstdint>
#include <deque>
#include <utility>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::quota::details {

class MemberCount {
 public:
  explicit MemberCount(utils::Duration memory) : memory(memory) {}

  void Observe(std::uint64_t count, utils::Timestamp now) {
    while (!this->observed.empty() && this->observed.back().first <= count) {
      this->observed.pop_back();
    }
    this->observed.emplace_back(count, now);
    while (this->observed.front().second + this->memory < now) {
      this->observed.pop_front();
    }
  }

  // At least 1.
  std::uint64_t Greatest() const {
    return this->observed.empty() || this->observed.front().first == 0
               ? 1
               : this->observed.front().first;
  }

 private:
  utils::Duration memory;
  // Counts in descending order, each with the time at which it was last observed.
  std::deque<std::pair<std::uint64_t, utils::Timestamp>> observed;
};

}  // namespace amaranthlatch::quota::details
