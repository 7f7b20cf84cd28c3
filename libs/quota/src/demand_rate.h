// Estimate of the rate at which calls arrive.
//
// It follows a real change within some tenths of a second, but a single call of a workspace that is
// rarely used does not look like one: a slow average is used as long as it lies within the random
// variation of a fast one.

#pragma once

#include <cstdint>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::quota::details {

class DemandRate {
 public:
  explicit DemandRate(utils::Timestamp now) : updated_at(now) {}

  void Count() { ++this->count; }
  void Update(utils::Timestamp now);
  // Calls per second.
  double Rate() const { return this->rate; }

 private:
  utils::Timestamp updated_at;
  // Calls since then.
  std::uint32_t count = 0;
  double fast = 0.0;
  double slow = 0.0;
  double rate = 0.0;
};

}  // namespace amaranthlatch::quota::details
