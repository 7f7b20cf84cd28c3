// Composition of the directory, calls, rollout and quota reducers: passes events and effects
// between them, and checks invariants after each event.

#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "amaranthlatch/calls/calls.h"
#include "amaranthlatch/directory/directory.h"
#include "amaranthlatch/node/invariants.h"
#include "amaranthlatch/node/register_node.h"
#include "call_admission.h"
#include "rollout_events.h"
#include "rollout_participant.h"

namespace amaranthlatch::node::details {

// See RegisterNodeOptions.
struct DrainTimes {
  utils::Duration grace_period{};
  utils::Duration shutdown_time{};
  bool operator==(const DrainTimes&) const = default;
};

class RegisterModules {
 public:
  RegisterModules(const DrainTimes& drain_times, directory::Directory directory, calls::Calls calls,
                  std::optional<rollout::Rollout> rollout, std::optional<quota::Quota> quota)
      : drain_times(drain_times),
        directory(std::move(directory)),
        calls(std::move(calls)),
        participant(std::move(rollout)),
        admission(std::move(quota)) {}

  std::vector<RegisterEffect> Reduce(const RegisterEvent& event, utils::Timestamp at);
  std::optional<utils::Timestamp> NextWake() const;
  bool Ready() const { return this->admitting && !this->draining; }

  const directory::Directory& GetDirectory() const { return this->directory; }
  const calls::Calls& GetCalls() const { return this->calls; }
  const RolloutParticipant& Participant() const { return this->participant; }
  const CallAdmission& Admission() const { return this->admission; }

 private:
  void Handle(const WakeUp& event);
  void Handle(const MessageReceived& event);
  void Handle(const MessageNotSent& event);
  void Handle(const PeerUnreachable& event);
  void Handle(const DrainRequested& event);
  void Handle(const directory::BackendServerReady& event);
  void Handle(const directory::BackendServerUnavailable& event);
  void Handle(const calls::CallReceived& event);
  void Handle(const calls::CallerGone& event);
  void Handle(const directory::StreamReadSucceeded& event);
  void Handle(const directory::MemberWriteCompleted& event);
  void Handle(const calls::BackendServerAnswered& event);
  void Handle(const calls::BackendServerFailed& event);
  void Handle(const rollout::StatusRead& event) { this->participant.Queue(event); }
  void Handle(const rollout::StatusReadFailed& event) { this->participant.Queue(event); }
  void Handle(const rollout::StatusWritten& event) { this->participant.Queue(event); }
  template <typename T>
  void Handle(const T& event);

  void DispatchToDirectory(const directory::Event& event);
  void DispatchToCalls(const calls::Event& event);
  void DispatchToRollout();
  // Announces the backend server, or withdraws it, as the rollout allows.
  void UpdateAnnouncement();
  CallAdmission::Context AdmissionContext() const;
  void HandleOutputs(CallAdmission::Outputs outputs);
  // Notifies the directory if a call was routed with a newer configuration.
  void ReportNewerVersion(const membership::NodeId& from, const calls::Message& message);
  // Reports changes of admission and of the backend server to the calls module.
  void UpdateCalls();
  void CloseCallerIntakeIfDue();

  // Everything else is left to the host.
  template <typename T>
  void HandleEffect(T effect) {
    this->effects.emplace_back(std::move(effect));
  }
  // Messages of the reducers become messages of the node.
  template <typename T>
  requires requires(T effect) { node::Message(effect.message); }
  void HandleEffect(T effect) {
    this->effects.emplace_back(SendMessage{std::move(effect.to), std::move(effect.message)});
  }
  void HandleEffect(calls::AnswerCaller effect) {
    this->invariants.OnCallAnswered(effect.call, this->violations);
    this->admission.OnAnswered(effect);
    this->effects.emplace_back(std::move(effect));
  }
  void HandleEffect(const directory::ConfigurationActivated& effect) {
    this->admission.OnConfigurationActivated();
    this->effects.emplace_back(effect);
  }
  void HandleEffect(const calls::Event& event) { this->DispatchToCalls(event); }
  void HandleEffect(calls::RunOnBackendServer effect) {
    this->participant.Queue(rollout::RunStarted{effect.run, effect.route});
    this->effects.emplace_back(std::move(effect));
  }
  void HandleEffect(directory::RolloutOrdersChanged effect) {
    this->participant.Queue(ToOrdersChanged(effect.orders));
    this->effects.emplace_back(std::move(effect));
  }
  // Permits exist only in the native caller protocol, which register mode does not serve.
  void HandleEffect(const calls::AnswerPermit& /*effect*/) {
    this->violations.push_back({"permits", "a permit was answered without a request"});
  }
  void CheckInvariants();

  const DrainTimes drain_times;
  directory::Directory directory;
  calls::Calls calls;
  RolloutParticipant participant;
  CallAdmission admission;
  InvariantChecker invariants;
  std::vector<InvariantViolated> violations;
  std::vector<RegisterEffect> effects;
  utils::Timestamp now{};
  bool started = false;

  // Whether the calls module has been told to admit calls.
  bool admitting = false;
  // Highest version that was in force; it never decreases.
  document::Version highest_version = 0;
  bool draining = false;
  // Time at which callers are refused; set during the grace period of a drain.
  std::optional<utils::Timestamp> caller_intake_deadline;
};

}  // namespace amaranthlatch::node::details
