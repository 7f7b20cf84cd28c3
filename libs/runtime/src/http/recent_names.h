// Names of requests that were sent lately.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::runtime::details {

// Remembers at least the last `kCapacity` different names, and at most twice as many.
class RecentNames {
 public:
  // Returns whether the name is known already.
  bool Add(std::string_view name) {
    const std::uint64_t hash = utils::Hash64(name);
    if (this->newer.contains(hash) || this->older.contains(hash)) {
      return true;
    }
    if (this->newer.size() == kCapacity) {
      this->older = std::exchange(this->newer, {});
    }
    this->newer.insert(hash);
    return false;
  }

 private:
  static constexpr std::size_t kCapacity = 4096;

  std::unordered_set<std::uint64_t> newer;
  std::unordered_set<std::uint64_t> older;
};

}  // namespace amaranthlatch::runtime::details
