// Composition of the directory and calls reducers.

#include "amaranthlatch/node/register_node.h"

#include <sodium.h>

#include <algorithm>
#include <deque>
#include <type_traits>
#include <unordered_map>
#include <utility>

#include "amaranthlatch/node/envelope.h"
#include "amaranthlatch/node/invariants.h"
#include "call_authorizer.h"
#include "credit_waiters.h"
#include "rollout_events.h"

namespace amaranthlatch::node {

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

struct RegisterNode::Impl {
  Impl(const RegisterNodeOptions& options, directory::Directory directory, calls::Calls calls)
      : drain_grace_period(options.drain_grace_period),
        directory(std::move(directory)),
        calls(std::move(calls)) {}

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
  void Handle(const rollout::StatusRead& event) { this->ToRollout(event); }
  void Handle(const rollout::StatusReadFailed& event) { this->ToRollout(event); }
  void Handle(const rollout::StatusWritten& event) { this->ToRollout(event); }
  template <typename T>
  void Handle(const T& event);

  void DispatchToDirectory(const directory::Event& event);
  void DispatchToCalls(const calls::Event& event);
  void DispatchToQuota(const quota::Event& event);
  // Tells the quota reducer the limits of the configuration in force.
  void UpdateLimits();
  // Queues an event for the rollout reducer, if there is one.
  void ToRollout(rollout::Event event);
  void DispatchToRollout();
  // Ends a lease that expired in a pause of the process before its wake-up is handled.
  void EndExpiredLease();
  // Announces the backend server, or withdraws it, as the rollout allows.
  void UpdateAnnouncement();
  // Passes on a call that is authorised.
  void AcceptCall(calls::CallReceived call);
  // Answers a call that was not passed on.
  void RefuseCall(std::uint64_t call, utils::ErrorCode code,
                  std::optional<utils::Duration> retry_after = std::nullopt);
  // Refuses a call that waits for credit; returns false if it does not wait.
  bool RefuseWaitingCall(std::uint64_t call, utils::ErrorCode code);
  void CountAuthorization(calls::AuthorizationResult result);
  // Notifies the directory if a call was routed with a newer configuration.
  void ReportNewerVersion(const membership::NodeId& from, const calls::Message& message);
  // Reports changes of admission and of the backend server to the calls module.
  void UpdateCalls();
  void CloseCallerIntakeIfDue();

  template <typename T>
  void HandleEffect(T effect) {
    this->effects.emplace_back(std::move(effect));
  }
  void HandleEffect(calls::SendMessage effect) {
    this->effects.emplace_back(SendMessage{std::move(effect.to), std::move(effect.message)});
  }
  void HandleEffect(directory::SendToPeer effect) {
    this->effects.emplace_back(SendMessage{std::move(effect.to), std::move(effect.message)});
  }
  void HandleEffect(calls::AnswerCaller effect) {
    this->invariants.OnCallAnswered(effect.call, this->violations);
    if (const auto admitted = this->admitted_calls.find(effect.call);
        admitted != this->admitted_calls.end()) {
      if (effect.answer.kind == calls::ResultKind::kNotRun) {
        this->unused_credit.push_back(admitted->second);
      }
      this->admitted_calls.erase(admitted);
    }
    this->effects.emplace_back(std::move(effect));
  }
  void HandleEffect(const directory::ConfigurationActivated& effect) {
    this->limits_changed = true;
    this->effects.emplace_back(effect);
  }
  void HandleEffect(quota::SendMessage effect) {
    this->effects.emplace_back(SendMessage{std::move(effect.to), std::move(effect.message)});
  }
  void HandleEffect(const quota::AdmitCall& effect);
  void HandleEffect(const quota::RefuseCall& effect);
  void HandleEffect(calls::RunOnBackendServer effect) {
    this->ToRollout(rollout::RunStarted{effect.run, effect.route});
    this->effects.emplace_back(std::move(effect));
  }
  void HandleEffect(directory::RolloutOrdersChanged effect) {
    this->ToRollout(details::ToOrdersChanged(effect.orders));
    this->effects.emplace_back(std::move(effect));
  }
  void HandleEffect(rollout::SendMessage effect) {
    this->effects.emplace_back(SendMessage{std::move(effect.to), std::move(effect.message)});
  }
  // Permits exist only in the native caller protocol, which register mode does not serve.
  void HandleEffect(const calls::AnswerPermit& /*effect*/) {
    this->violations.push_back({"permits", "a permit was answered without a request"});
  }
  void CheckInvariants();

  const utils::Duration drain_grace_period;
  const EmptyRouteTable empty_routes;
  directory::Directory directory;
  calls::Calls calls;
  std::optional<rollout::Rollout> rollout;
  std::optional<quota::Quota> quota;
  details::CreditWaiters waiting_calls;
  // Open calls that were admitted with credit.
  std::unordered_map<std::uint64_t, quota::CallNotRun> admitted_calls;
  // Credit of calls that ended as not run; returned at the end of the event.
  std::vector<quota::CallNotRun> unused_credit;
  bool limits_changed = false;
  directory::WorkspaceTable::Pointer limited_workspaces;
  // The register held a record of an earlier process of this node.
  bool was_listed = false;
  bool is_listed = false;
  // Events that the rollout reducer gets at the end of the current one.
  std::deque<rollout::Event> rollout_events;
  InvariantChecker invariants;
  std::vector<InvariantViolated> violations;
  std::vector<RegisterEffect> effects;
  node::AuthorizationCounters authorizations;
  Timestamp now{};
  bool started = false;

  // State last reported to the calls module.
  bool admitting = false;
  calls::BackendServerChanged reported_backend;
  // State last announced by the backend server.
  calls::BackendServerChanged announced_backend;
  // Its announcement, as long as it takes requests.
  std::optional<directory::BackendServerReady> ready_backend;
  // The server as the rollout reducer was told last.
  rollout::BackendServerChanged rollout_backend;
  // Whether the directory has been told that the server is ready.
  bool announced = false;
  // Highest version that was in force; it never decreases.
  document::Version highest_version = 0;
  bool draining = false;
  // Time at which callers are refused; set during the grace period of a drain.
  std::optional<Timestamp> caller_intake_deadline;
  bool caller_intake_closed = false;
  bool calls_violation_reported = false;
};

void RegisterNode::Impl::DispatchToDirectory(const directory::Event& event) {
  for (directory::Effect& effect : this->directory.Reduce(event, this->now)) {
    std::visit([this](auto& value) { this->HandleEffect(std::move(value)); }, effect);
  }
  this->UpdateCalls();
}

void RegisterNode::Impl::DispatchToCalls(const calls::Event& event) {
  const directory::MeshConfiguration::Pointer configuration = this->directory.Configuration();
  const document::RouteTable* routes = &this->empty_routes;
  if (configuration != nullptr) {
    routes = configuration.get();
  }
  const CallAuthorizer authorizer(configuration);
  for (calls::Effect& effect :
       this->calls.Reduce(event, this->now, this->directory.Members(), *routes, &authorizer)) {
    std::visit([this](auto& value) { this->HandleEffect(std::move(value)); }, effect);
  }
}

void RegisterNode::Impl::UpdateCalls() {
  if (!this->admitting && this->directory.Configuration() != nullptr) {
    this->admitting = true;
    this->DispatchToCalls(calls::AdmissionChanged{true});
  }
  calls::BackendServerChanged next = this->announced_backend;
  const bool is_held = this->rollout && !this->rollout->Admission().accept;
  next.available = next.available && !this->draining && !is_held;
  if (const auto limit = this->rollout ? this->rollout->RunLimit() : std::nullopt) {
    // One event may start several runs, and the reducer of the rollout learns of them afterwards.
    next.slots = static_cast<std::uint32_t>(std::min<std::uint64_t>(next.slots, *limit));
  }
  if (next != this->reported_backend) {
    this->reported_backend = next;
    this->DispatchToCalls(next);
  }
}

void RegisterNode::Impl::CloseCallerIntakeIfDue() {
  if (this->caller_intake_deadline && *this->caller_intake_deadline <= this->now) {
    this->caller_intake_deadline.reset();
    this->caller_intake_closed = true;
    // The calls reducer does not know these calls, and reports an end of the drain without them.
    for (const std::uint64_t call : this->waiting_calls.Numbers()) {
      this->RefuseWaitingCall(call, utils::ErrorCode::kDraining);
    }
    this->effects.emplace_back(CallerIntakeClosed{});
    this->DispatchToCalls(calls::DrainStarted{});
  }
}

void RegisterNode::Impl::Handle(const WakeUp& /*event*/) {
  const auto due = [this](const std::optional<Timestamp>& wake) {
    return wake && *wake <= this->now;
  };
  if (!this->started || due(this->directory.NextWake())) {
    this->DispatchToDirectory(directory::WakeUp{});
  }
  this->started = true;
  if (due(this->calls.NextWake())) {
    this->DispatchToCalls(calls::WakeUp{});
  }
  if (this->quota && due(this->quota->NextWake())) {
    this->DispatchToQuota(quota::WakeUp{});
  }
  if (this->rollout && due(this->rollout->NextWake())) {
    this->ToRollout(rollout::WakeUp{});
  }
}

void RegisterNode::Impl::Handle(const MessageReceived& event) {
  if (const auto* call = std::get_if<calls::Message>(&event.message)) {
    this->ReportNewerVersion(event.from, *call);
    this->DispatchToCalls(calls::PeerMessage{event.from, *call});
  } else if (const auto* message = std::get_if<directory::Message>(&event.message)) {
    this->DispatchToDirectory(directory::PeerMessageReceived{event.from, *message});
  } else if (const auto* rollout_message = std::get_if<rollout::Message>(&event.message)) {
    this->ToRollout(rollout::PeerMessage{event.from, *rollout_message});
  } else if (const auto* credit = std::get_if<quota::Message>(&event.message);
             credit != nullptr && this->quota) {
    this->DispatchToQuota(quota::PeerMessage{event.from, *credit});
  }
}

void RegisterNode::Impl::ReportNewerVersion(const membership::NodeId& from,
                                            const calls::Message& message) {
  const auto* const request = std::get_if<calls::CallRequest>(&message);
  if (request != nullptr && request->version > this->highest_version) {
    this->DispatchToDirectory(directory::NewerVersionObserved{request->version, from});
  }
}

void RegisterNode::Impl::Handle(const MessageNotSent& event) {
  const auto* const call = std::get_if<calls::Message>(&event.message);
  const auto* const request = call == nullptr ? nullptr : std::get_if<calls::CallRequest>(call);
  if (request != nullptr) {
    this->DispatchToCalls(calls::AttemptNotSent{request->id});
  } else if (std::holds_alternative<directory::Message>(event.message)) {
    this->DispatchToDirectory(directory::PeerUnreachable{event.to});
  }
}

void RegisterNode::Impl::Handle(const PeerUnreachable& event) {
  this->DispatchToDirectory(directory::PeerUnreachable{event.id});
  this->DispatchToCalls(calls::PeerUnreachable{event.id});
  this->ToRollout(rollout::PeerUnreachable{event.id});
  if (this->quota) {
    this->DispatchToQuota(quota::PeerUnreachable{event.id});
  }
}

void RegisterNode::Impl::Handle(const DrainRequested& /*event*/) {
  if (this->draining) {
    return;
  }
  this->draining = true;
  if (this->rollout && this->ready_backend) {
    // The gate refuses all calls from now on.
    this->rollout_backend.available = false;
    this->ToRollout(this->rollout_backend);
  }
  this->caller_intake_deadline = this->now + this->drain_grace_period;
  this->DispatchToDirectory(directory::DrainStarted{});
}

void RegisterNode::Impl::Handle(const directory::BackendServerReady& event) {
  this->announced_backend = {event.service, event.slots, true};
  this->ready_backend = event;
  if (!this->rollout) {
    this->DispatchToDirectory(event);
    return;
  }
  rollout::BackendServerChanged next = details::ToServerChanged(event, !this->draining);
  // Announcements are repeated while the server warms up; only a new process is cold for longer.
  rollout::BackendServerChanged repeated = this->rollout_backend;
  repeated.cold_left = next.cold_left;
  if (next == repeated && next.cold_left <= this->rollout_backend.cold_left) {
    next.cold_left = this->rollout_backend.cold_left;
  }
  if (next != this->rollout_backend) {
    this->rollout_backend = next;
    this->ToRollout(next);
    this->DispatchToRollout();
  }
  this->UpdateAnnouncement();
}

void RegisterNode::Impl::Handle(const directory::BackendServerUnavailable& event) {
  this->announced_backend.available = false;
  if (this->rollout && this->ready_backend) {
    this->rollout_backend = details::ToServerChanged(*this->ready_backend, false);
    this->rollout_backend.cold_left = {};
    this->ToRollout(this->rollout_backend);
  }
  this->ready_backend.reset();
  this->announced = false;
  this->DispatchToDirectory(event);
}

void RegisterNode::Impl::Handle(const calls::BackendServerAnswered& event) {
  this->ToRollout(details::ToRunEnded(event));
  this->DispatchToCalls(event);
}

void RegisterNode::Impl::Handle(const calls::BackendServerFailed& event) {
  this->ToRollout(details::ToRunEnded(event));
  this->DispatchToCalls(event);
}

void RegisterNode::Impl::ToRollout(rollout::Event event) {
  if (this->rollout) {
    this->rollout_events.push_back(std::move(event));
  }
}

void RegisterNode::Impl::DispatchToRollout() {
  while (!this->rollout_events.empty()) {
    const rollout::Event event = std::move(this->rollout_events.front());
    this->rollout_events.pop_front();
    for (rollout::Effect& effect :
         this->rollout->Reduce(event, this->now, this->directory.Members())) {
      const bool is_admission = std::holds_alternative<rollout::AdmissionChanged>(effect);
      std::visit([this](auto& value) { this->HandleEffect(std::move(value)); }, effect);
      if (is_admission) {
        this->UpdateCalls();
        this->UpdateAnnouncement();
      }
    }
  }
}

void RegisterNode::Impl::EndExpiredLease() {
  if (this->rollout && this->rollout->Admission(this->now) != this->rollout->Admission()) {
    this->ToRollout(rollout::WakeUp{});
    this->DispatchToRollout();
  }
}

void RegisterNode::Impl::UpdateAnnouncement() {
  const bool announce = this->ready_backend && this->rollout->Admission().announce;
  if (announce) {
    this->announced = true;
    this->DispatchToDirectory(*this->ready_backend);
  } else if (this->announced) {
    this->announced = false;
    this->DispatchToDirectory(directory::BackendServerUnavailable{});
  }
}

void RegisterNode::Impl::Handle(const calls::CallReceived& event) {
  this->invariants.OnCallOpened(event.call, this->violations);
  calls::CallReceived call = event;
  const calls::Authorization authorization =
      CallAuthorizer(this->directory.Configuration()).Apply(call);
  this->CountAuthorization(authorization.result);
  if (authorization.Code() != utils::ErrorCode::kOk) {
    this->RefuseCall(call.call, authorization.Code());
    return;
  }
  this->AcceptCall(std::move(call));
}

void RegisterNode::Impl::AcceptCall(calls::CallReceived call) {
  // After the end of the intake the calls reducer refuses every call.
  if (!this->quota || call.workspace.empty() || this->caller_intake_closed) {
    this->DispatchToCalls(std::move(call));
    return;
  }
  const quota::CallArrived arrived{call.call, call.workspace};
  this->waiting_calls.Add(
      {std::move(call), this->now, this->directory.Configuration()->GetVersion()});
  this->DispatchToQuota(arrived);
}

void RegisterNode::Impl::HandleEffect(const quota::AdmitCall& effect) {
  auto waiter = this->waiting_calls.Take(effect.call, this->now);
  if (!waiter) {
    return;
  }
  calls::CallReceived call = std::move(waiter->call);
  const quota::CallNotRun unused{call.workspace, this->now};
  if (waiter->version != this->directory.Configuration()->GetVersion()) {
    // The key may have been withdrawn, or may belong to another workspace now.
    const calls::Authorization authorization =
        CallAuthorizer(this->directory.Configuration()).Apply(call);
    if (authorization.Code() != utils::ErrorCode::kOk) {
      this->unused_credit.push_back(unused);
      this->RefuseCall(call.call, authorization.Code());
      return;
    }
    if (call.workspace != unused.workspace) {
      this->unused_credit.push_back(unused);
      this->AcceptCall(std::move(call));
      return;
    }
  }
  this->admitted_calls.emplace(call.call, unused);
  this->DispatchToCalls(std::move(call));
}

void RegisterNode::Impl::HandleEffect(const quota::RefuseCall& effect) {
  if (this->waiting_calls.Take(effect.call, this->now)) {
    this->RefuseCall(effect.call, utils::ErrorCode::kQuotaExceeded, effect.retry_after);
  }
}

void RegisterNode::Impl::DispatchToQuota(const quota::Event& event) {
  for (quota::Effect& effect : this->quota->Reduce(event, this->now, this->directory.Members())) {
    std::visit([this](auto& value) { this->HandleEffect(std::move(value)); }, effect);
  }
}

void RegisterNode::Impl::UpdateLimits() {
  const directory::MeshConfiguration::Pointer configuration = this->directory.Configuration();
  if (!this->quota || !std::exchange(this->limits_changed, false) || configuration == nullptr ||
      configuration->GetWorkspaces() == this->limited_workspaces) {
    return;
  }
  this->limited_workspaces = configuration->GetWorkspaces();
  auto limits = std::make_shared<quota::Limits>();
  if (this->limited_workspaces != nullptr) {
    for (const auto& workspace : this->limited_workspaces->All()) {
      if (workspace->rate > 0.0) {
        limits->emplace(workspace->name, quota::Limit{workspace->rate, workspace->burst});
      }
    }
  }
  this->DispatchToQuota(quota::LimitsChanged{std::move(limits)});
}

void RegisterNode::Impl::Handle(const calls::CallerGone& event) {
  if (!this->RefuseWaitingCall(event.call, utils::ErrorCode::kCallerGone)) {
    this->DispatchToCalls(event);
  }
}

bool RegisterNode::Impl::RefuseWaitingCall(std::uint64_t call, utils::ErrorCode code) {
  if (!this->waiting_calls.Take(call, this->now)) {
    return false;
  }
  this->DispatchToQuota(quota::CallGone{call});
  this->RefuseCall(call, code);
  return true;
}

void RegisterNode::Impl::Handle(const directory::StreamReadSucceeded& event) {
  const membership::Member& self = this->directory.Members().Self();
  for (const membership::Member& member : event.members) {
    this->was_listed = this->was_listed || (member.id == self.id && member.boot_id != self.boot_id);
  }
  this->DispatchToDirectory(event);
}

void RegisterNode::Impl::Handle(const directory::MemberWriteCompleted& event) {
  this->DispatchToDirectory(event);
  if (this->quota && event.written && !this->is_listed) {
    this->is_listed = true;
    this->DispatchToQuota(quota::MembersListed{this->was_listed});
  }
}

void RegisterNode::Impl::RefuseCall(std::uint64_t call, utils::ErrorCode code,
                                    std::optional<utils::Duration> retry_after) {
  calls::Answer refusal;
  refusal.kind = calls::ResultKind::kNotRun;
  refusal.code = code;
  refusal.message = utils::ToString(code);
  refusal.retry_after = retry_after;
  this->HandleEffect(calls::AnswerCaller{call, std::move(refusal)});
}

void RegisterNode::Impl::CountAuthorization(calls::AuthorizationResult result) {
  switch (result) {
    case calls::AuthorizationResult::kUnchecked:
      break;
    case calls::AuthorizationResult::kPublic:
      ++this->authorizations.on_public_route;
      break;
    case calls::AuthorizationResult::kKnown:
      ++this->authorizations.known;
      break;
    case calls::AuthorizationResult::kUnknown:
      ++this->authorizations.unknown;
      break;
  }
}

template <typename T>
void RegisterNode::Impl::Handle(const T& event) {
  if constexpr (std::is_constructible_v<calls::Event, const T&>) {
    this->DispatchToCalls(event);
  } else {
    this->DispatchToDirectory(event);
  }
}

void RegisterNode::Impl::CheckInvariants() {
  const directory::MeshConfiguration::Pointer configuration = this->directory.Configuration();
  if (configuration != nullptr) {
    if (configuration->GetVersion() < this->highest_version) {
      this->violations.push_back({"P1", "version in force decreased"});
    }
    this->highest_version = configuration->GetVersion();
  }
  const std::string& violation_text = this->calls.FirstViolation();
  if (!violation_text.empty() && !this->calls_violation_reported) {
    this->calls_violation_reported = true;
    this->violations.push_back({"calls", violation_text});
  }
  for (InvariantViolated& violation : this->violations) {
    this->effects.emplace_back(std::move(violation));
  }
  this->violations.clear();
}

utils::Result<std::unique_ptr<RegisterNode>> RegisterNode::Create(
    const RegisterNodeOptions& options) {
  if (sodium_init() < 0) {
    return utils::Fail(utils::ErrorCode::kSettingsOutOfRange, "libsodium cannot be initialised");
  }
  if (options.secret.empty()) {
    return utils::Fail(utils::ErrorCode::kSettingsOutOfRange, "the shared secret is empty",
                       "/secret");
  }
  auto directory = directory::Directory::Create(options.directory);
  if (!directory) {
    return tl::unexpected(directory.error());
  }
  calls::Options calls_options = options.calls;
  calls_options.permit_key = DeriveKey(options.secret, KeyPurpose::kPermit);
  auto calls = calls::Calls::Create(
      calls_options, std::make_unique<calls::ExpectedTimePolicy>(
                         calls::ExpectedTimePolicy::CostsOf(calls_options.crossing)));
  if (!calls) {
    return tl::unexpected(calls.error());
  }
  auto impl = std::make_unique<Impl>(options, *std::move(directory), *std::move(calls));
  if (options.rollout) {
    auto rollout = rollout::Rollout::Create(*options.rollout);
    if (!rollout) {
      return tl::unexpected(rollout.error());
    }
    impl->rollout = *std::move(rollout);
  }
  if (options.quota) {
    auto quota = quota::Quota::Create(*options.quota);
    if (!quota) {
      return tl::unexpected(quota.error());
    }
    impl->quota = *std::move(quota);
  }
  return std::unique_ptr<RegisterNode>(new RegisterNode(std::move(impl)));
}

RegisterNode::RegisterNode(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
RegisterNode::~RegisterNode() = default;

std::vector<RegisterEffect> RegisterNode::Reduce(const RegisterEvent& event, Timestamp now) {
  Impl& modules = *this->impl;
  modules.now = now;
  modules.EndExpiredLease();
  while (const auto expired = modules.waiting_calls.FindExpired(now)) {
    modules.RefuseWaitingCall(*expired, utils::ErrorCode::kDeadlineExceeded);
  }
  std::visit([&modules](const auto& value) { modules.Handle(value); }, event);
  modules.DispatchToRollout();
  if (modules.rollout) {
    // A directive may have changed the allowance.
    modules.UpdateCalls();
  }
  modules.UpdateLimits();
  // A call that is admitted with returned credit may return it again.
  while (!modules.unused_credit.empty()) {
    for (const quota::CallNotRun& unused : std::exchange(modules.unused_credit, {})) {
      modules.DispatchToQuota(unused);
    }
  }
  modules.CloseCallerIntakeIfDue();
  modules.CheckInvariants();
  return std::exchange(modules.effects, {});
}

std::optional<Timestamp> RegisterNode::NextWake() const {
  const Impl& modules = *this->impl;
  if (!modules.started) {
    return Timestamp{};
  }
  std::optional<Timestamp> next = modules.caller_intake_deadline;
  const auto quota_wake = modules.quota ? modules.quota->NextWake() : std::optional<Timestamp>();
  const auto rollout_wake =
      modules.rollout ? modules.rollout->NextWake() : std::optional<Timestamp>();
  for (const auto& wake : {modules.directory.NextWake(), modules.calls.NextWake(), rollout_wake,
                           quota_wake, modules.waiting_calls.NextDeadline()}) {
    if (wake && (!next || *wake < *next)) {
      next = wake;
    }
  }
  return next;
}

bool RegisterNode::Ready() const { return this->impl->admitting && !this->impl->draining; }

directory::MeshConfiguration::Pointer RegisterNode::Configuration() const {
  return this->impl->directory.Configuration();
}

directory::ConfigurationStatus RegisterNode::ConfigurationStatus() const {
  return this->impl->directory.GetConfigurationStatus();
}

const membership::MemberView& RegisterNode::Members() const {
  return this->impl->directory.Members();
}

const directory::Counters& RegisterNode::DirectoryCounters() const {
  return this->impl->directory.GetCounters();
}

directory::Gauges RegisterNode::DirectoryGauges() const {
  return this->impl->directory.GetGauges();
}

const calls::Counters& RegisterNode::CallCounters() const {
  return this->impl->calls.GetCounters();
}

calls::Gauges RegisterNode::CallGauges() const { return this->impl->calls.GetGauges(); }

rollout::Counters RegisterNode::RolloutCounters() const {
  return this->impl->rollout ? this->impl->rollout->GetCounters() : rollout::Counters{};
}

quota::Counters RegisterNode::QuotaCounters() const {
  return this->impl->quota ? this->impl->quota->GetCounters() : quota::Counters{};
}

quota::Gauges RegisterNode::QuotaGauges() const {
  return this->impl->quota ? this->impl->quota->GetGauges() : quota::Gauges{};
}

rollout::Gauges RegisterNode::RolloutGauges() const {
  return this->impl->rollout ? this->impl->rollout->GetGauges() : rollout::Gauges{};
}

const AuthorizationCounters& RegisterNode::AuthorizationCounters() const {
  return this->impl->authorizations;
}

}  // namespace amaranthlatch::node
