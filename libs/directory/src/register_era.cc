// Comparison of eras.

#include "register_era.h"

#include <utility>

namespace amaranthlatch::directory::details {

namespace {
// A register rises by one each time; a node that was cut off misses a few of them.
constexpr Era kMaxRise = 1000;
}  // namespace

EraVerdict RegisterEra::Observe(Request request, const std::optional<Era>& stated) {
  if (!stated) {
    return EraVerdict::kCurrent;
  }
  if (!this->latest) {
    this->latest = stated;
    return EraVerdict::kCurrent;
  }
  bool& was_under_way = this->may_be_outdated.at(static_cast<std::size_t>(request));
  if (*stated > *this->latest) {
    if (*stated - *this->latest > kMaxRise) {
      return EraVerdict::kCurrent;
    }
    this->latest = stated;
    this->may_be_outdated.fill(true);
    was_under_way = false;
    return EraVerdict::kRisen;
  }
  // A later answer of a lower era was asked for in the latest one: the register is at fault, not
  // the answer.
  const bool may_be_outdated = std::exchange(was_under_way, false);
  return *stated < *this->latest && may_be_outdated ? EraVerdict::kOutdated : EraVerdict::kCurrent;
}

}  // namespace amaranthlatch::directory::details
