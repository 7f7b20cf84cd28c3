// Queue of one priority class, shared by workspaces.
//
// The calls of one workspace are ordered by latency deadline. Between workspaces it is weighted
// start-time fair queueing with a cost of 1 per call: each dequeued call moves its workspace ahead
// by 1 / weight of virtual time, and the workspace that is furthest behind is next. Deficit round
// robin gives the same shares, but serves a workspace with a large weight in bursts.

#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <iterator>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "amaranthlatch/calls/message.h"
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
  // Time by which its entry node needs the answer, because the process of that node ends then.
  utils::Timestamp answer_by = utils::Timestamp::max();
  // Time at which the call leaves the queue without having run: the earliest of its deadline, the
  // end of its queue time and the last time at which it could be answered before
  // `latency_deadline` and `answer_by`.
  utils::Timestamp expiry;
  // Whether the answer uses the link of this instance.
  bool uses_link = false;
  // Sequence number of the permit; 0 without one.
  std::uint64_t permit = 0;
  // Share of its workspace in the queue, relative to an average workspace.
  double weight = 1.0;
};

// Position of a call among those of its workspace.
struct QueueOrder {
  utils::Timestamp latency_deadline{};
  // Arrival number across all classes.
  std::uint64_t arrival = 0;
  bool operator<(const QueueOrder& other) const {
    return std::tie(this->latency_deadline, this->arrival) <
           std::tie(other.latency_deadline, other.arrival);
  }
};

// What decides which workspace uses the most of a queue.
enum class QueueMeasure : std::uint8_t { kCalls, kBodyBytes };

class FairQueue {
 public:
  void Push(const QueueOrder& order, AdmittedCall call);
  // The queue must not be empty.
  AdmittedCall Pop();
  // The call must be queued.
  AdmittedCall Remove(const std::string& workspace, const QueueOrder& order);
  // The call must be queued. Its workspace and its body must stay as they are.
  AdmittedCall& At(const std::string& workspace, const QueueOrder& order) {
    return this->flows.at(workspace).calls.at(order);
  }

  std::size_t Size() const { return this->size; }
  // Arrival number of the call that Pop returns. The queue must not be empty.
  std::uint64_t NextArrival() const;

  template <typename Visitor>
  void ForEach(Visitor visit) const {
    for (const auto& [workspace, flow] : this->flows) {
      for (const auto& [order, call] : flow.calls) {
        visit(call);
      }
    }
  }
  // Whether any queued call belongs to a workspace.
  bool HasWorkspaces() const;
  // Expected number of calls that are dequeued before a further call of a workspace: its own and
  // others, those included that are still to arrive.
  std::size_t CountAhead(std::string_view workspace, double weight) const;
  // The same for a workspace that has no call queued and none dequeued lately.
  std::size_t CountAheadOfNew() const;
  // Calls `visit(call, count)` for each queued call that is dequeued before a new one of this
  // workspace and deadline. `count` is the number of calls for which it stands: itself, and a share
  // of those that are expected to arrive later and nevertheless go first.
  template <typename Visitor>
  void ForEachAhead(std::string_view workspace, double weight, utils::Timestamp latency_deadline,
                    Visitor visit) const {
    const auto own = this->flows.find(workspace);
    std::size_t own_calls = 0;
    if (own != this->flows.end()) {
      const auto end = own->second.calls.upper_bound({latency_deadline, UINT64_MAX});
      own_calls = static_cast<std::size_t>(std::distance(own->second.calls.begin(), end));
    }
    const Position position = this->FindPosition(workspace, weight, own_calls);
    for (auto flow = this->flows.begin(); flow != this->flows.end(); ++flow) {
      std::size_t left = flow == own ? own_calls : flow->second.CountQueued(position.start);
      for (auto call = flow->second.calls.begin(); left > 0; ++call, --left) {
        visit(call->second, position.growth);
      }
    }
  }

  // The last call of the workspace that uses the most of the queue for its weight, if that is more
  // than the workspace of `call` would use with it; null otherwise.
  const AdmittedCall* FindYielding(const AdmittedCall& call, QueueMeasure measure) const;

 private:
  // The calls of one workspace.
  struct Flow {
    std::map<QueueOrder, AdmittedCall> calls;
    std::uint64_t body_bytes = 0;
    double weight = 1.0;
    // Virtual time at which the next call of the workspace is due.
    double start = 0.0;

    // Number of calls that are due at this virtual time if the workspace always has calls queued.
    double CountDue(double time) const {
      return this->start > time ? 0.0 : std::floor((time - this->start) * this->weight) + 1.0;
    }
    // Number of queued calls among them.
    std::size_t CountQueued(double time) const {
      const auto queued = static_cast<double>(this->calls.size());
      return static_cast<std::size_t>(std::min(queued, this->CountDue(time)));
    }
    double Usage(QueueMeasure measure) const {
      const std::uint64_t amount =
          measure == QueueMeasure::kCalls ? this->calls.size() : this->body_bytes;
      return static_cast<double>(amount) / this->weight;
    }
  };
  using Flows = std::map<std::string, Flow, std::less<>>;

  // Place of a new call behind `own_calls` of its workspace.
  struct Position {
    // Virtual time at which it is due.
    double start = 0.0;
    // Number of queued calls before it.
    double queued = 0.0;
    // Number of calls expected before it, for each of those.
    double growth = 1.0;
  };
  Position FindPosition(std::string_view workspace, double weight, std::size_t own_calls) const;
  void RecordArrival(const std::string& workspace);
  // Share of the workspace in the latest arrivals, above 0.
  double ShareOfArrivals(std::string_view workspace) const;

  Flows::const_iterator FindNext() const;
  AdmittedCall Take(Flow& flow, const QueueOrder& order);

  // A workspace without queued calls stays until the virtual time has reached its start, so that it
  // gains nothing by an empty queue. No flow stays once the whole queue is empty.
  Flows flows;
  std::size_t size = 0;
  // Start of the call dequeued last.
  double virtual_time = 0.0;

  // Number of arrivals that are remembered: several rounds of the workspaces that share a queue.
  static constexpr std::size_t kRememberedArrivals = 256;
  // Workspaces of the latest arrivals, and the number of arrivals of each.
  std::deque<std::string> arrivals;
  std::map<std::string, std::size_t, std::less<>> arrivals_by_workspace;
};

}  // namespace amaranthlatch::calls::details
