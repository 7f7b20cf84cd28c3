// The withdrawal of a backend server: its departure, or its announcement that it drains. The record
// of the node holds the latest one, so that the next process of the node rejects announcements that
// the server sent before.

#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

#include "amaranthlatch/membership/member.h"

namespace amaranthlatch::directory {

struct Withdrawal {
  // Hash of the name of the server's process.
  std::uint64_t process = 0;
  // Announcements of this process up to this start, in ms of wall time, and of that start up to
  // this sequence number, were sent before the withdrawal.
  std::uint64_t started_at_ms = 0;
  std::uint64_t sequence = 0;

  // No announcement follows the departure of a process.
  bool IsDeparture() const { return this->sequence == std::numeric_limits<std::uint64_t>::max(); }
  bool operator==(const Withdrawal&) const = default;
};

// Labels of a member record with the withdrawal, in a form that earlier releases ignore.
void SetWithdrawal(membership::Member& member, const Withdrawal& withdrawal);
// Returns none if the record holds no valid withdrawal.
std::optional<Withdrawal> GetWithdrawal(const membership::Member& member);

}  // namespace amaranthlatch::directory
