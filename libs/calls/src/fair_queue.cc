// Order of the calls of several workspaces in one priority class.

#include "fair_queue.h"

#include <utility>

namespace amaranthlatch::calls::details {

void FairQueue::Push(const QueueOrder& order, AdmittedCall call) {
  Flow& flow = this->flows[call.request.workspace];
  flow.weight = call.weight;
  if (flow.calls.empty()) {
    flow.start = std::max(flow.start, this->virtual_time);
  }
  flow.body_bytes += call.request.request.body.size();
  this->RecordArrival(call.request.workspace);
  flow.calls.emplace(order, std::move(call));
  ++this->size;
}

void FairQueue::RecordArrival(const std::string& workspace) {
  this->arrivals.push_back(workspace);
  ++this->arrivals_by_workspace[workspace];
  if (this->arrivals.size() > kRememberedArrivals) {
    const auto oldest = this->arrivals_by_workspace.find(this->arrivals.front());
    if (--oldest->second == 0) {
      this->arrivals_by_workspace.erase(oldest);
    }
    this->arrivals.pop_front();
  }
}

double FairQueue::ShareOfArrivals(std::string_view workspace) const {
  const auto found = this->arrivals_by_workspace.find(workspace);
  // Counts the new call as well.
  const std::size_t own = 1 + (found == this->arrivals_by_workspace.end() ? 0 : found->second);
  return static_cast<double>(own) / static_cast<double>(this->arrivals.size() + 1);
}

FairQueue::Flows::const_iterator FairQueue::FindNext() const {
  auto next = this->flows.end();
  for (auto flow = this->flows.begin(); flow != this->flows.end(); ++flow) {
    const auto& [workspace, candidate] = *flow;
    if (candidate.calls.empty()) {
      continue;
    }
    // Of workspaces that are equally far behind, the one with the earliest latency deadline.
    const bool is_before = next == this->flows.end() || candidate.start < next->second.start ||
                           (candidate.start == next->second.start &&
                            candidate.calls.begin()->first < next->second.calls.begin()->first);
    next = is_before ? flow : next;
  }
  return next;
}

AdmittedCall FairQueue::Pop() {
  Flow& flow = this->flows.find(this->FindNext()->first)->second;
  this->virtual_time = flow.start;
  flow.start += 1.0 / flow.weight;
  return this->Take(flow, flow.calls.begin()->first);
}

AdmittedCall FairQueue::Remove(const std::string& workspace, const QueueOrder& order) {
  return this->Take(this->flows.at(workspace), order);
}

AdmittedCall FairQueue::Take(Flow& flow, const QueueOrder& order) {
  auto node = flow.calls.extract(order);
  AdmittedCall call = std::move(node.mapped());
  flow.body_bytes -= call.request.request.body.size();
  --this->size;
  if (this->size == 0) {
    this->flows.clear();
    this->virtual_time = 0.0;
  } else {
    std::erase_if(this->flows, [this](const auto& entry) {
      return entry.second.calls.empty() && entry.second.start <= this->virtual_time;
    });
  }
  return call;
}

std::uint64_t FairQueue::NextArrival() const {
  return this->FindNext()->second.calls.begin()->first.arrival;
}

bool FairQueue::HasWorkspaces() const {
  return std::any_of(this->flows.begin(), this->flows.end(), [](const auto& entry) {
    return !entry.first.empty() && !entry.second.calls.empty();
  });
}

FairQueue::Position FairQueue::FindPosition(std::string_view workspace, double weight,
                                            std::size_t own_calls) const {
  const auto own = this->flows.find(workspace);
  Position position;
  position.start = this->virtual_time;
  if (own != this->flows.end()) {
    position.start = std::max(position.start, own->second.start);
  }
  position.start += static_cast<double>(own_calls) / weight;
  position.queued = static_cast<double>(own_calls);
  double due = position.queued;
  for (auto flow = this->flows.begin(); flow != this->flows.end(); ++flow) {
    if (flow != own) {
      position.queued += static_cast<double>(flow->second.CountQueued(position.start));
      due += flow->second.CountDue(position.start);
    }
  }
  // While the calls before it are served, other workspaces send further ones, in proportion to
  // their arrivals, but no more go first than are due by then.
  if (position.queued > 0.0) {
    position.growth = std::min(due / position.queued, 1.0 / this->ShareOfArrivals(workspace));
  }
  return position;
}

std::size_t FairQueue::CountAhead(std::string_view workspace, double weight) const {
  const auto own = this->flows.find(workspace);
  const std::size_t own_calls = own == this->flows.end() ? 0 : own->second.calls.size();
  const Position position = this->FindPosition(workspace, weight, own_calls);
  return static_cast<std::size_t>(position.queued * position.growth);
}

std::size_t FairQueue::CountAheadOfNew() const {
  std::size_t count = 0;
  for (const auto& [workspace, flow] : this->flows) {
    count += flow.CountQueued(this->virtual_time);
  }
  return count;
}

const AdmittedCall* FairQueue::FindYielding(const AdmittedCall& call, QueueMeasure measure) const {
  const auto own = this->flows.find(call.request.workspace);
  const std::uint64_t amount =
      measure == QueueMeasure::kCalls ? 1 : call.request.request.body.size();
  double most = static_cast<double>(amount) / call.weight;
  if (own != this->flows.end()) {
    most += own->second.Usage(measure);
  }
  const AdmittedCall* yielding = nullptr;
  for (auto flow = this->flows.begin(); flow != this->flows.end(); ++flow) {
    const double usage = flow->second.Usage(measure);
    if (flow != own && usage > most) {
      most = usage;
      yielding = &flow->second.calls.rbegin()->second;
    }
  }
  return yielding;
}

}  // namespace amaranthlatch::calls::details
