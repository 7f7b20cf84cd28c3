// Calls that wait until the quota reducer admits or refuses them.

#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "amaranthlatch/calls/event.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::node::details {

class CreditWaiters {
 public:
  struct Waiter {
    calls::CallReceived call;
    utils::Timestamp arrived{};
    // Version of the configuration by which the call was judged.
    document::Version version = 0;
  };

  void Add(Waiter waiter);
  // Removes a call and returns it; its remaining time is as of `now`.
  std::optional<Waiter> Take(std::uint64_t call, utils::Timestamp now);
  // A call whose deadline has passed; none if there is none.
  std::optional<std::uint64_t> FindExpired(utils::Timestamp now) const;
  std::vector<std::uint64_t> Numbers() const;
  // The earliest deadline.
  std::optional<utils::Timestamp> NextDeadline() const;

 private:
  std::unordered_map<std::uint64_t, Waiter> waiters;
  std::set<std::pair<utils::Timestamp, std::uint64_t>> deadlines;
};

}  // namespace amaranthlatch::node::details
