// Dispatch of events and effects between the reducers of a node in register mode.

#include "register_modules.h"

#include <type_traits>
#include <utility>
#include <variant>

#include "call_authorizer.h"
#include "wake_time.h"

namespace amaranthlatch::node::details {

namespace {

using utils::Timestamp;

// Route table used until the first configuration is in force.
class EmptyRouteTable final : public document::RouteTable {
 public:
  std::optional<document::RouteMatch> Match(std::string_view /*host*/, std::string_view /*path*/,
                                            std::string_view /*method*/) const override {
    return std::nullopt;
  }
  std::shared_ptr<const document::ServiceDocument> Find(
      std::string_view /*service*/) const override {
    return nullptr;
  }
};

}  // namespace

std::vector<RegisterEffect> RegisterModules::Reduce(const RegisterEvent& event, Timestamp at) {
  this->now = at;
  this->participant.QueueExpiredLease(this->now);
  this->DispatchToRollout();
  this->HandleOutputs(this->admission.RefuseExpired(this->AdmissionContext()));
  std::visit([this](const auto& value) { this->Handle(value); }, event);
  this->DispatchToRollout();
  if (this->participant.GetRollout() != nullptr) {
    // A directive may have changed the allowance.
    this->UpdateCalls();
  }
  this->HandleOutputs(this->admission.UpdateLimits(this->AdmissionContext()));
  // A call that is admitted with returned credit may return it again.
  while (this->admission.HasUnusedCredit()) {
    this->HandleOutputs(this->admission.ReturnCredit(this->AdmissionContext()));
  }
  this->CloseCallerIntakeIfDue();
  this->CheckInvariants();
  return std::exchange(this->effects, {});
}

std::optional<Timestamp> RegisterModules::NextWake() const {
  if (!this->started) {
    return Timestamp{};
  }
  std::optional<Timestamp> next = this->caller_intake_deadline;
  for (const auto& wake : {this->directory.NextWake(), this->calls.NextWake(),
                           this->participant.NextWake(), this->admission.NextWake()}) {
    next = Earlier(next, wake);
  }
  return next;
}

void RegisterModules::DispatchToDirectory(const directory::Event& event) {
  for (directory::Effect& effect : this->directory.Reduce(event, this->now)) {
    std::visit([this](auto& value) { this->HandleEffect(std::move(value)); }, effect);
  }
  this->UpdateCalls();
}

void RegisterModules::DispatchToCalls(const calls::Event& event) {
  const directory::MeshConfiguration::Pointer configuration = this->directory.Configuration();
  const EmptyRouteTable empty_routes;
  const document::RouteTable* routes = &empty_routes;
  if (configuration != nullptr) {
    routes = configuration.get();
  }
  const CallAuthorizer authorizer(configuration);
  for (calls::Effect& effect :
       this->calls.Reduce(event, this->now, this->directory.Members(), *routes, &authorizer)) {
    std::visit([this](auto& value) { this->HandleEffect(std::move(value)); }, effect);
  }
}

void RegisterModules::UpdateCalls() {
  if (!this->admitting && this->directory.Configuration() != nullptr) {
    this->admitting = true;
    this->DispatchToCalls(calls::AdmissionChanged{true});
  }
  if (auto changed = this->participant.NextServerState(this->draining)) {
    this->DispatchToCalls(*std::move(changed));
  }
}

void RegisterModules::CloseCallerIntakeIfDue() {
  if (IsDue(this->caller_intake_deadline, this->now)) {
    this->caller_intake_deadline.reset();
    this->HandleOutputs(this->admission.CloseIntake(this->AdmissionContext()));
    this->effects.emplace_back(CallerIntakeClosed{});
    this->DispatchToCalls(calls::DrainStarted{});
  }
}

void RegisterModules::Handle(const WakeUp& /*event*/) {
  if (!this->started || IsDue(this->directory.NextWake(), this->now)) {
    this->DispatchToDirectory(directory::WakeUp{});
  }
  this->started = true;
  if (IsDue(this->calls.NextWake(), this->now)) {
    this->DispatchToCalls(calls::WakeUp{});
  }
  this->HandleOutputs(this->admission.OnWakeUp(this->AdmissionContext()));
  this->participant.QueueWakeUpIfDue(this->now);
}

void RegisterModules::Handle(const MessageReceived& event) {
  if (const auto* call = std::get_if<calls::Message>(&event.message)) {
    this->ReportNewerVersion(event.from, *call);
    this->DispatchToCalls(calls::PeerMessage{event.from, *call});
  } else if (const auto* message = std::get_if<directory::Message>(&event.message)) {
    this->DispatchToDirectory(directory::PeerMessageReceived{event.from, *message});
  } else if (const auto* rollout_message = std::get_if<rollout::Message>(&event.message)) {
    this->participant.Queue(rollout::PeerMessage{event.from, *rollout_message});
  } else if (const auto* credit = std::get_if<quota::Message>(&event.message)) {
    this->HandleOutputs(this->admission.OnMessage(event.from, *credit, this->AdmissionContext()));
  }
}

void RegisterModules::ReportNewerVersion(const membership::NodeId& from,
                                         const calls::Message& message) {
  const auto* const request = std::get_if<calls::CallRequest>(&message);
  if (request != nullptr && request->version > this->highest_version) {
    this->DispatchToDirectory(directory::NewerVersionObserved{request->version, from});
  }
}

void RegisterModules::Handle(const MessageNotSent& event) {
  const auto* const call = std::get_if<calls::Message>(&event.message);
  const auto* const request = call == nullptr ? nullptr : std::get_if<calls::CallRequest>(call);
  if (request != nullptr) {
    this->DispatchToCalls(calls::AttemptNotSent{request->id});
  } else if (std::holds_alternative<directory::Message>(event.message)) {
    this->DispatchToDirectory(directory::PeerUnreachable{event.to});
  }
}

void RegisterModules::Handle(const PeerUnreachable& event) {
  this->DispatchToDirectory(directory::PeerUnreachable{event.id});
  this->DispatchToCalls(calls::PeerUnreachable{event.id});
  this->participant.Queue(rollout::PeerUnreachable{event.id});
  this->HandleOutputs(this->admission.OnPeerUnreachable(event.id, this->AdmissionContext()));
}

void RegisterModules::Handle(const DrainRequested& /*event*/) {
  if (this->draining) {
    return;
  }
  this->draining = true;
  this->participant.OnDrainStarted();
  this->caller_intake_deadline = this->now + this->drain_times.grace_period;
  this->DispatchToCalls(calls::ShutdownScheduled{this->drain_times.shutdown_time});
  this->DispatchToDirectory(directory::DrainStarted{});
}

void RegisterModules::Handle(const directory::BackendServerReady& event) {
  if (this->participant.OnServerReady(event)) {
    this->DispatchToRollout();
  }
  this->UpdateAnnouncement();
}

void RegisterModules::Handle(const directory::BackendServerUnavailable& event) {
  this->participant.OnServerUnavailable();
  this->DispatchToDirectory(event);
}

void RegisterModules::Handle(const calls::BackendServerAnswered& event) {
  this->participant.Queue(details::ToRunEnded(event));
  this->DispatchToCalls(event);
}

void RegisterModules::Handle(const calls::BackendServerFailed& event) {
  this->participant.Queue(details::ToRunEnded(event));
  this->DispatchToCalls(event);
}

void RegisterModules::DispatchToRollout() {
  while (this->participant.HasQueued()) {
    for (rollout::Effect& effect :
         this->participant.ReduceNext(this->now, this->directory.Members())) {
      const bool is_admission = std::holds_alternative<rollout::AdmissionChanged>(effect);
      std::visit([this](auto& value) { this->HandleEffect(std::move(value)); }, effect);
      if (is_admission) {
        this->UpdateCalls();
        this->UpdateAnnouncement();
      }
    }
  }
}

void RegisterModules::UpdateAnnouncement() {
  if (const auto announcement = this->participant.NextAnnouncement()) {
    this->DispatchToDirectory(*announcement);
  }
}

CallAdmission::Context RegisterModules::AdmissionContext() const {
  return {this->directory.Configuration(), this->directory.Members(), this->now};
}

void RegisterModules::HandleOutputs(CallAdmission::Outputs outputs) {
  for (CallAdmission::Output& output : outputs) {
    std::visit([this](auto& value) { this->HandleEffect(std::move(value)); }, output);
  }
}

void RegisterModules::Handle(const calls::CallReceived& event) {
  this->invariants.OnCallOpened(event.call, this->violations);
  this->HandleOutputs(this->admission.OnCallReceived(event, this->AdmissionContext()));
}

void RegisterModules::Handle(const calls::CallerGone& event) {
  this->HandleOutputs(this->admission.OnCallerGone(event, this->AdmissionContext()));
}

void RegisterModules::Handle(const directory::StreamReadSucceeded& event) {
  this->admission.OnMembersRead(event.members, this->directory.Members());
  this->DispatchToDirectory(event);
}

void RegisterModules::Handle(const directory::MemberWriteCompleted& event) {
  this->DispatchToDirectory(event);
  if (event.written) {
    this->HandleOutputs(this->admission.OnMemberWritten(this->AdmissionContext()));
  }
}

template <typename T>
void RegisterModules::Handle(const T& event) {
  if constexpr (std::is_constructible_v<calls::Event, const T&>) {
    this->DispatchToCalls(event);
  } else {
    this->DispatchToDirectory(event);
  }
}

void RegisterModules::CheckInvariants() {
  const directory::MeshConfiguration::Pointer configuration = this->directory.Configuration();
  if (configuration != nullptr) {
    if (configuration->GetVersion() < this->highest_version) {
      this->violations.push_back({"P1", "version in force decreased"});
    }
    this->highest_version = configuration->GetVersion();
  }
  this->invariants.CheckCalls(this->calls.FirstViolation(), this->violations);
  for (InvariantViolated& violation : this->violations) {
    this->effects.emplace_back(std::move(violation));
  }
  this->violations.clear();
}

}  // namespace amaranthlatch::node::details
