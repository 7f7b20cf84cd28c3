// Credit of one workspace at a node, with the times at which it expires.

#pragma once

#include <cstdint>
#include <deque>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::quota::details {

class Credit {
 public:
  void Add(std::uint32_t count, utils::Timestamp expires);
  // Uses the credit that expires first; returns false if there is none.
  bool Take(utils::Timestamp now);
  // Returns the credit that a call used at that time, unless it has expired since.
  void Return(utils::Timestamp taken_at, utils::Timestamp now);
  // Voids all credit.
  void Clear() { this->lots.clear(); }

  // Credit that is still valid at `at`, which must not be before the time of the last call.
  std::uint32_t ValidAt(utils::Timestamp at) const;
  // Removes expired lots and returns the unused credit in them.
  std::uint32_t Expire(utils::Timestamp now);

 private:
  struct Lot {
    utils::Timestamp expires{};
    std::uint32_t remaining = 0;
    std::uint32_t used = 0;
    // Of the calls that used the lot; valid if `used` was ever above 0.
    utils::Timestamp first_used{};
    utils::Timestamp last_used{};
  };

  // In the order in which they expire. Empty lots stay until then, for Return().
  std::deque<Lot> lots;
};

}  // namespace amaranthlatch::quota::details
