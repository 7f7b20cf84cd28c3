// Calls that wait at a gate for a slot: one bounded queue for each priority class.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "amaranthlatch/calls/message.h"
#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls::details {

// A call that this gate admitted.
struct AdmittedCall {
  std::uint64_t key = 0;
  CallRequest request;
  utils::Timestamp deadline;
  // When its answer is late; the end of time where that makes no difference.
  utils::Timestamp answer_due = utils::Timestamp::max();
  // When it leaves the queue without having run: its deadline or the end of its queue time.
  utils::Timestamp expiry;
  // Sequence number of its permit; 0 without one.
  std::uint64_t permit = 0;
};

class PriorityQueue {
 public:
  // Every `fairness_interval`-th Pop takes the oldest call of any class below the first one.
  explicit PriorityQueue(std::uint32_t fairness_interval) : interval(fairness_interval) {}

  void Push(AdmittedCall call);
  std::optional<AdmittedCall> Pop();
  std::optional<AdmittedCall> Remove(std::uint64_t key);
  // A call whose expiry is at or before `now`.
  std::optional<AdmittedCall> PopExpired(utils::Timestamp now);

  std::optional<utils::Timestamp> NextExpiry() const;
  std::size_t Size() const { return this->positions.size(); }
  std::size_t Size(document::Priority priority) const;
  // Calls that would be taken before a new one of this class.
  std::size_t Ahead(document::Priority priority) const;

 private:
  // Arrival number within all classes.
  using Order = std::uint64_t;
  using ClassQueue = std::map<Order, AdmittedCall>;
  struct Position {
    std::size_t priority = 0;
    Order order = 0;
  };

  AdmittedCall RemoveAt(std::size_t priority, Order order);
  // The class whose oldest call goes next; the queue is not empty.
  std::size_t SelectClass();

  std::uint32_t interval;
  std::uint32_t pops = 0;
  Order next_order = 0;
  std::array<ClassQueue, document::kPriorityCount> classes;
  // One entry in each for every waiting call.
  std::unordered_map<std::uint64_t, Position> positions;
  std::set<std::pair<utils::Timestamp, std::uint64_t>> expiries;
};

}  // namespace amaranthlatch::calls::details
