// Events of the rollout reducer, and announcements of the backend server.

#include "rollout_participant.h"

#include <algorithm>

#include "rollout_events.h"
#include "wake_time.h"

namespace amaranthlatch::node::details {

void RolloutParticipant::Queue(rollout::Event event) {
  if (this->rollout) {
    this->events.push_back(std::move(event));
  }
}

void RolloutParticipant::QueueExpiredLease(utils::Timestamp now) {
  if (this->rollout && this->rollout->Admission(now) != this->rollout->Admission()) {
    this->Queue(rollout::WakeUp{});
  }
}

void RolloutParticipant::QueueWakeUpIfDue(utils::Timestamp now) {
  if (IsDue(this->NextWake(), now)) {
    this->Queue(rollout::WakeUp{});
  }
}

std::vector<rollout::Effect> RolloutParticipant::ReduceNext(utils::Timestamp now,
                                                            const membership::MemberView& members) {
  const rollout::Event event = std::move(this->events.front());
  this->events.pop_front();
  return this->rollout->Reduce(event, now, members);
}

bool RolloutParticipant::OnServerReady(const directory::BackendServerReady& server) {
  this->announced_state = {server.service, server.slots, true};
  this->ready_server = server;
  rollout::BackendServerChanged next = ToServerChanged(server, !this->draining);
  // Announcements are repeated while the server warms up; only a new process is cold for longer.
  rollout::BackendServerChanged repeated = this->rollout_server;
  repeated.cold_left = next.cold_left;
  if (next == repeated && next.cold_left <= this->rollout_server.cold_left) {
    next.cold_left = this->rollout_server.cold_left;
  }
  if (!this->rollout || next == this->rollout_server) {
    return false;
  }
  this->rollout_server = next;
  this->Queue(std::move(next));
  return true;
}

void RolloutParticipant::OnServerUnavailable() {
  this->announced_state.available = false;
  if (this->rollout && this->ready_server) {
    this->rollout_server = ToServerChanged(*this->ready_server, false);
    this->rollout_server.cold_left = {};
    this->Queue(this->rollout_server);
  }
  this->ready_server.reset();
  this->announced = false;
}

void RolloutParticipant::OnDrainStarted() {
  this->draining = true;
  if (this->rollout && this->ready_server) {
    this->rollout_server.available = false;
    this->Queue(this->rollout_server);
  }
}

std::optional<directory::Event> RolloutParticipant::NextAnnouncement() {
  if (this->ready_server && this->Admission().announce) {
    this->announced = true;
    return *this->ready_server;
  }
  if (this->announced) {
    this->announced = false;
    return directory::BackendServerUnavailable{};
  }
  return std::nullopt;
}

std::optional<calls::BackendServerChanged> RolloutParticipant::NextServerState(bool draining) {
  calls::BackendServerChanged next = this->announced_state;
  next.available = next.available && !draining && this->Admission().accept;
  if (const auto limit = this->rollout ? this->rollout->RunLimit() : std::nullopt) {
    // One event may start several runs, and the reducer of the rollout learns of them afterwards.
    next.slots = static_cast<std::uint32_t>(std::min<std::uint64_t>(next.slots, *limit));
  }
  if (next == this->reported_state) {
    return std::nullopt;
  }
  this->reported_state = next;
  return next;
}

std::optional<utils::Timestamp> RolloutParticipant::NextWake() const {
  return this->rollout ? this->rollout->NextWake() : std::nullopt;
}

rollout::AdmissionChanged RolloutParticipant::Admission() const {
  return this->rollout ? this->rollout->Admission() : rollout::AdmissionChanged{};
}

}  // namespace amaranthlatch::node::details
