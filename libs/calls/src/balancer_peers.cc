// What the balancer observes of gates: attempts, answers and reports.

#include <algorithm>

#include "balancer.h"

namespace amaranthlatch::calls::details {

namespace {
using membership::Member;
using membership::NodeId;
}  // namespace

Balancer::Peer& Balancer::GetPeer(const NodeId& id) {
  const auto found = this->peers.find(id);
  if (found != this->peers.end()) {
    return found->second;
  }
  this->MakeRoom(1);
  return this->peers[id];
}

void Balancer::MakeRoom(std::size_t count) {
  if (this->peers.size() + count > this->shared.options.balance.capacity) {
    this->peers_by_service.clear();
    std::erase_if(this->peers, [](const auto& entry) { return entry.second.in_flight == 0; });
  }
}

void Balancer::OnSent(const NodeId& gate, document::Priority priority, utils::Timestamp now) {
  Peer& peer = this->GetPeer(gate);
  ++peer.in_flight;
  ++peer.sent_since_report.at(static_cast<std::size_t>(priority));
  if (!peer.awaiting_reply) {
    peer.awaiting_reply = true;
    peer.awaiting_since = now;
  }
}

void Balancer::OnEnded(const NodeId& gate, RouteKey route, AttemptOutcome outcome,
                       utils::Duration latency, utils::Timestamp now) {
  Peer& peer = this->GetPeer(gate);
  this->shared.Require(peer.in_flight > 0, "balancer: an attempt ended that was not sent");
  --peer.in_flight;
  peer.awaiting_reply = peer.awaiting_reply && peer.in_flight > 0;
  if (outcome == AttemptOutcome::kAnswered) {
    peer.latency_at = now;
    peer.latencies.Record(route, latency);
    peer.is_unreachable = false;
  } else if (outcome == AttemptOutcome::kFailed || outcome == AttemptOutcome::kUnreachable) {
    peer.is_unreachable = outcome == AttemptOutcome::kUnreachable;
    peer.failure_score = this->DecayedFailureScore(peer, now) + 1.0;
    peer.failure_score_at = now;
  }
}

void Balancer::OnRefused(const Context& context, const NodeId& gate, const std::string& service,
                         RouteKey route) {
  const Member* member = context.members.Find(gate);
  if (member != nullptr) {
    this->crossing.OnRefused(CrossingDecision::KeyOf(service, route),
                             GroupOf(DistanceOf(context.members.Self(), *member)), context.now);
  }
}

AttemptOutcome Balancer::OutcomeOf(const NodeId& gate, document::Priority priority,
                                   utils::ErrorCode code) {
  if (code == utils::ErrorCode::kGateUnreachable || code == utils::ErrorCode::kNoBackendServer ||
      code == utils::ErrorCode::kNodeNotReady || code == utils::ErrorCode::kDraining) {
    return AttemptOutcome::kUnreachable;
  }
  // A policy that weighs waits knows the load by the gate's report. Counted as failures, refusals
  // of one class kept calls of all classes away from the gate for seconds.
  const bool is_load = code == utils::ErrorCode::kQueueFull || code == utils::ErrorCode::kLinkBusy;
  return is_load && this->policy->WeighsDistance() && this->GetPeer(gate).load.IsBusy(priority)
             ? AttemptOutcome::kBusy
             : AttemptOutcome::kFailed;
}

void Balancer::OnAnswer(const NodeId& gate, const std::string& service, RouteKey route,
                        std::optional<utils::Duration> time, std::uint64_t answer_bytes) {
  if (time) {
    this->GetPeer(gate).service_times.Record(route, *time);
  }
  this->statistics.Record(service, route, time, answer_bytes);
}

void Balancer::CountAnswer(const Context& context, const NodeId& gate, const std::string& service,
                           std::uint64_t bytes) {
  const Member* const member = context.members.Find(gate);
  if (member == nullptr) {
    return;
  }
  const auto place = static_cast<std::size_t>(DistanceOf(context.members.Self(), *member));
  ServiceCounters& counters = this->shared.counters.services[service];
  ++counters.answered.at(place);
  counters.bytes.at(place) += bytes;
}

void Balancer::OnRunTime(const NodeId& gate, const std::string& service, RouteKey route,
                         std::uint32_t run_time_us, utils::Timestamp now) {
  if (run_time_us == 0) {
    return;
  }
  Peer& peer = this->GetPeer(gate);
  peer.speed_factor = this->statistics.RecordRunTime(service, route, run_time_us);
  peer.speed_at = now;
  peer.run_time_us = run_time_us;
  peer.run_time_route = route;
}

void Balancer::OnLoadReport(const NodeId& gate, const GateLoad& load, utils::Timestamp now) {
  Peer& peer = this->GetPeer(gate);
  peer.load = load;
  peer.sent_since_report = {};
  peer.load_at = now;
  // The ending attempt is still counted in `in_flight`; other open calls are awaited from now on.
  peer.awaiting_reply = peer.in_flight > 1;
  peer.awaiting_since = now;
}

void Balancer::OnWorkspaceLoad(const NodeId& gate, const Demand& demand,
                               std::optional<std::uint32_t> ahead, utils::Timestamp now) {
  this->GetPeer(gate).workspace_loads.Record(demand.workspace, demand.priority, ahead, now);
}

void Balancer::OnProcessReplaced(const NodeId& gate, std::uint64_t boot) {
  this->GetPeer(gate).replaced_boot_id = boot;
}

}  // namespace amaranthlatch::calls::details
