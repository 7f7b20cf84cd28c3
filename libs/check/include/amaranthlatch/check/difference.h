// What differs between two versions of a configuration, and what that changes for callers.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthlatch/check/configuration.h"

namespace amaranthlatch::check {

enum class Change : std::uint8_t { kAdded, kRemoved, kChanged };

struct Difference {
  Change change = Change::kChanged;
  // Kind and name, such as "route work".
  std::string item;
  // In the file that has the item; in the later one if both have it.
  std::string pointer;
  // Empty unless a field has changed.
  std::string field;
  std::string before;
  std::string after;
  // For callers.
  std::string effect;

  bool operator==(const Difference&) const = default;
};

std::string_view ToString(Change change);

// Removed items first, then the others; both in the order of their names.
std::vector<Difference> Compare(const Configuration& before, const Configuration& after);

}  // namespace amaranthlatch::check
