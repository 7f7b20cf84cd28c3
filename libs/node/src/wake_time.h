// Arithmetic on the times at which reducers are woken next. None means that a reducer waits for
// nothing.

#pragma once

#include <optional>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::node::details {

inline bool IsDue(const std::optional<utils::Timestamp>& wake, utils::Timestamp now) {
  return wake && *wake <= now;
}

inline std::optional<utils::Timestamp> Earlier(const std::optional<utils::Timestamp>& left,
                                               const std::optional<utils::Timestamp>& right) {
  return !left || (right && *right < *left) ? right : left;
}

}  // namespace amaranthlatch::node::details
