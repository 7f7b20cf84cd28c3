// Queue of admitted calls that wait for a slot: one queue per priority class, each in the order of
// the latency deadlines of its calls. A class may hold short internal calls beside long ones.

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
#include "service_times.h"

namespace amaranthlatch::calls::details {

// A call in the admission process of this gate.
struct AdmittedCall {
  std::uint64_t key = 0;
  CallRequest request;
  // Key of the route in ServiceTimes.
  RouteKey route = 0;
  // Assumed time at the backend server until the first call of the route has ended.
  utils::Duration assumed_run_time{};
  // Time until which a refusal still comes early enough for the caller to try elsewhere.
  utils::Timestamp refusable_until{};
  utils::Timestamp deadline;
  // Time by which an answer meets the target latency of the route; max() if the route has none.
  utils::Timestamp latency_deadline = utils::Timestamp::max();
  // Time at which the call leaves the queue without having run: the earliest of its deadline, the
  // end of its queue time and the last time at which it could be answered before
  // `latency_deadline`.
  utils::Timestamp expiry;
  // Whether the answer uses the link of this instance.
  bool uses_link = false;
  // Sequence number of the permit; 0 without one.
  std::uint64_t permit = 0;
};

// Time at the backend server to assume for a call of a route that has not run here yet.
utils::Duration AssumedRunTime(const CallRequest& request);

// Time until which a refusal of the call is early enough. Its deadlines must be set.
utils::Timestamp RefusableUntil(const AdmittedCall& call, utils::Timestamp now);

class PriorityQueue {
 public:
  // Every `fairness_interval`-th Pop takes the oldest first call below the highest non-empty class,
  // so that lower classes do not starve.
  explicit PriorityQueue(std::uint32_t fairness_interval) : interval(fairness_interval) {}

  void Push(AdmittedCall call);
  std::optional<AdmittedCall> Pop();
  std::optional<AdmittedCall> Remove(std::uint64_t key);
  // Removes a call whose expiry is at or before `now`; nullopt if there is none.
  std::optional<AdmittedCall> PopExpired(utils::Timestamp now);

  std::optional<utils::Timestamp> NextExpiry() const;
  std::size_t Size() const { return this->positions.size(); }
  std::size_t Size(document::Priority priority) const;
  // Total size of the bodies of all calls in the queue.
  std::uint64_t BodyBytes() const { return this->body_bytes; }
  // Calls `visit` for each call that is dequeued before a new one of this class and deadline.
  template <typename Visitor>
  void ForEachAhead(document::Priority priority, utils::Timestamp latency_deadline,
                    Visitor visit) const {
    const auto last = static_cast<std::size_t>(priority);
    for (std::size_t i = 0; i <= last; ++i) {
      for (const auto& [order, call] : this->classes.at(i)) {
        if (i == last && order.latency_deadline > latency_deadline) {
          break;
        }
        visit(call);
      }
    }
  }

 private:
  struct Order {
    utils::Timestamp latency_deadline{};
    // Arrival number across all classes.
    std::uint64_t arrival = 0;
    bool operator<(const Order& other) const {
      return std::tie(this->latency_deadline, this->arrival) <
             std::tie(other.latency_deadline, other.arrival);
    }
  };
  using ClassQueue = std::map<Order, AdmittedCall>;
  struct Position {
    std::size_t priority = 0;
    Order order;
  };

  AdmittedCall RemoveAt(std::size_t priority, Order order);
  // Returns the class to dequeue from. The queue must not be empty.
  std::size_t SelectClass();

  std::uint32_t interval;
  std::uint32_t pops = 0;
  std::uint64_t arrivals = 0;
  std::uint64_t body_bytes = 0;
  std::array<ClassQueue, document::kPriorityCount> classes;
  // Every queued call has one entry in each.
  std::unordered_map<std::uint64_t, Position> positions;
  std::set<std::pair<utils::Timestamp, std::uint64_t>> expiries;
};

}  // namespace amaranthlatch::calls::details
