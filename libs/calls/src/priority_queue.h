// Queue of admitted calls that wait for a slot: one queue per priority class, each shared by
// workspaces and within a workspace in the order of latency deadlines. A class may hold short
// internal calls beside long ones.

#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/utils/time.h"
#include "fair_queue.h"

namespace amaranthlatch::calls::details {

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
  // Null if the call is not queued.
  const AdmittedCall* Find(std::uint64_t key);
  // Sets both times where they are earlier than those of the call, which keeps its place and must
  // be queued.
  void Limit(std::uint64_t key, utils::Timestamp answer_by, utils::Timestamp expiry);
  // Removes a call whose expiry is at or before `now`; nullopt if there is none.
  std::optional<AdmittedCall> PopExpired(utils::Timestamp now);

  std::optional<utils::Timestamp> NextExpiry() const;
  std::size_t Size() const { return this->positions.size(); }
  std::size_t Size(document::Priority priority) const;
  // Total size of the bodies of all calls in the queue.
  std::uint64_t BodyBytes() const { return this->body_bytes; }
  // Calls `visit(call, count)` for each call that is dequeued before this new one, see FairQueue.
  template <typename Visitor>
  void ForEachAhead(const AdmittedCall& call, Visitor visit) const {
    const auto last = static_cast<std::size_t>(call.request.priority);
    for (std::size_t i = 0; i < last; ++i) {
      this->classes.at(i).ForEach([&visit](const AdmittedCall& ahead) { visit(ahead, 1.0); });
    }
    this->classes.at(last).ForEachAhead(call.request.workspace, call.weight, call.latency_deadline,
                                        visit);
  }

  // Calls `visit(call)` for each call of this class and of more urgent ones, without workspaces in
  // the order in which they are dequeued.
  template <typename Visitor>
  void ForEachUpTo(document::Priority priority, Visitor visit) const {
    for (std::size_t i = 0; i <= static_cast<std::size_t>(priority); ++i) {
      this->classes.at(i).ForEach(visit);
    }
  }
  bool HasWorkspaces() const {
    return std::any_of(this->classes.begin(), this->classes.end(),
                       [](const FairQueue& queued) { return queued.HasWorkspaces(); });
  }

  // Calls that precede a new one of a workspace in its class, see FairQueue.
  const FairQueue& ClassQueue(document::Priority priority) const {
    return this->classes.at(static_cast<std::size_t>(priority));
  }
  // The call that gives way to `call` if the queue is short of room for its class or for its body;
  // null if `call` itself has to. For its body, calls of lower classes may give way as well.
  const AdmittedCall* FindYielding(const AdmittedCall& call, QueueMeasure measure) const;

 private:
  struct Position {
    std::size_t priority = 0;
    std::string workspace;
    QueueOrder order;
  };

  AdmittedCall& At(const Position& position) {
    return this->classes.at(position.priority).At(position.workspace, position.order);
  }
  // Updates the indexes for a call that has left its class.
  void Forget(const AdmittedCall& call);
  // Returns the class to dequeue from. The queue must not be empty.
  std::size_t SelectClass();

  std::uint32_t interval;
  std::uint32_t pops = 0;
  std::uint64_t arrivals = 0;
  std::uint64_t body_bytes = 0;
  std::array<FairQueue, document::kPriorityCount> classes;
  // Every queued call has one entry in each.
  std::unordered_map<std::uint64_t, Position> positions;
  std::set<std::pair<utils::Timestamp, std::uint64_t>> expiries;
};

}  // namespace amaranthlatch::calls::details
