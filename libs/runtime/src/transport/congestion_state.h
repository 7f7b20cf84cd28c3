// Whether a link counts as congested, for the log: with hysteresis, so that a load at the limit
// writes few lines.

#pragma once

#include <optional>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime::details {

class CongestionState {
 public:
  // Takes the present wait of bulk messages. Returns whether the state has changed.
  bool Update(utils::Duration wait, utils::Timestamp now);

  bool IsCongested() const { return this->congested; }

  // Whether Update() has to be called again although nothing else happens.
  bool IsWatched() const { return this->congested || this->differs_since.has_value(); }

 private:
  bool congested = false;
  // Since when the wait contradicts the state.
  std::optional<utils::Timestamp> differs_since;
};

}  // namespace amaranthlatch::runtime::details
