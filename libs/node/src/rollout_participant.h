// Takes part in rollouts with the backend server beside this node, and decides what the directory
// and the gate are told of the server while a rollout may hold it back.

#pragma once

#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "amaranthlatch/calls/event.h"
#include "amaranthlatch/directory/event.h"
#include "amaranthlatch/membership/member_view.h"
#include "amaranthlatch/rollout/rollout.h"

namespace amaranthlatch::node::details {

class RolloutParticipant {
 public:
  // Without a rollout reducer, the server is announced as it announces itself.
  explicit RolloutParticipant(std::optional<rollout::Rollout> rollout)
      : rollout(std::move(rollout)) {}

  // Queues an event for the rollout reducer, if there is one.
  void Queue(rollout::Event event);
  // Queues a wake-up if a lease has expired in a pause of the process, before its wake-up.
  void QueueExpiredLease(utils::Timestamp now);
  void QueueWakeUpIfDue(utils::Timestamp now);
  bool HasQueued() const { return !this->events.empty(); }
  // Applies the first queued event.
  std::vector<rollout::Effect> ReduceNext(utils::Timestamp now,
                                          const membership::MemberView& members);

  // True if an event was queued for the rollout reducer.
  bool OnServerReady(const directory::BackendServerReady& server);
  void OnServerUnavailable();
  // From now on the gate refuses all calls.
  void OnDrainStarted();

  // What the directory has to be told now; none if nothing has changed.
  std::optional<directory::Event> NextAnnouncement();
  // What the calls reducer has to be told now; none if nothing has changed.
  std::optional<calls::BackendServerChanged> NextServerState(bool draining);

  std::optional<utils::Timestamp> NextWake() const;
  // Null where the deployment has no rollouts.
  const rollout::Rollout* GetRollout() const { return this->rollout ? &*this->rollout : nullptr; }

 private:
  rollout::AdmissionChanged Admission() const;

  std::optional<rollout::Rollout> rollout;
  // Events that the rollout reducer gets at the end of the current one.
  std::deque<rollout::Event> events;
  // State last announced by the backend server.
  calls::BackendServerChanged announced_state;
  // State last reported to the calls reducer.
  calls::BackendServerChanged reported_state;
  // Its announcement, as long as it takes requests.
  std::optional<directory::BackendServerReady> ready_server;
  // The server as the rollout reducer was told last.
  rollout::BackendServerChanged rollout_server;
  bool draining = false;
  // Whether the directory has been told that the server is ready.
  bool announced = false;
};

}  // namespace amaranthlatch::node::details
