// Use and return of credit, lot by lot.

#include "credit.h"

#include <algorithm>

namespace amaranthlatch::quota::details {

using utils::Timestamp;

void Credit::Add(std::uint32_t count, Timestamp expires) {
  auto position = this->lots.end();
  while (position != this->lots.begin() && std::prev(position)->expires > expires) {
    --position;
  }
  this->lots.insert(position, Lot{expires, count, 0, {}, {}});
}

bool Credit::Take(Timestamp now) {
  for (Lot& lot : this->lots) {
    if (lot.remaining > 0 && now < lot.expires) {
      --lot.remaining;
      lot.first_used = lot.used == 0 ? now : lot.first_used;
      lot.last_used = now;
      ++lot.used;
      return true;
    }
  }
  return false;
}

void Credit::Return(Timestamp taken_at, Timestamp now) {
  for (Lot& lot : this->lots) {
    if (lot.used > 0 && lot.first_used <= taken_at && taken_at <= lot.last_used &&
        now < lot.expires) {
      --lot.used;
      ++lot.remaining;
      return;
    }
  }
}

std::uint32_t Credit::ValidAt(Timestamp at) const {
  std::uint32_t valid = 0;
  for (const Lot& lot : this->lots) {
    valid += at < lot.expires ? lot.remaining : 0;
  }
  return valid;
}

std::uint32_t Credit::Expire(Timestamp now) {
  std::uint32_t expired = 0;
  while (!this->lots.empty() && this->lots.front().expires <= now) {
    expired += this->lots.front().remaining;
    this->lots.pop_front();
  }
  return expired;
}

}  // namespace amaranthlatch::quota::details
