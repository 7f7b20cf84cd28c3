// Composition of the directory and calls reducers.

#include "amaranthlatch/node/register_node.h"

#include <sodium.h>

#include <deque>
#include <type_traits>
#include <utility>

#include "amaranthlatch/node/envelope.h"
#include "amaranthlatch/node/invariants.h"

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
  template <typename T>
  void Handle(const T& event);

  void DispatchToDirectory(const directory::Event& event);
  void DispatchToCalls(const calls::Event& event);
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
    this->effects.emplace_back(std::move(effect));
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
  InvariantChecker invariants;
  std::vector<InvariantViolated> violations;
  std::vector<RegisterEffect> effects;
  Timestamp now{};
  bool started = false;

  // State last reported to the calls module.
  bool admitting = false;
  calls::BackendServerChanged reported_backend;
  // State last announced by the backend server.
  calls::BackendServerChanged announced_backend;
  // Highest version that was in force; it never decreases.
  document::Version highest_version = 0;
  bool draining = false;
  // Time at which callers are refused; set during the grace period of a drain.
  std::optional<Timestamp> caller_intake_deadline;
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
  for (calls::Effect& effect :
       this->calls.Reduce(event, this->now, this->directory.Members(), *routes)) {
    std::visit([this](auto& value) { this->HandleEffect(std::move(value)); }, effect);
  }
}

void RegisterNode::Impl::UpdateCalls() {
  if (!this->admitting && this->directory.Configuration() != nullptr) {
    this->admitting = true;
    this->DispatchToCalls(calls::AdmissionChanged{true});
  }
  calls::BackendServerChanged next = this->announced_backend;
  next.available = next.available && !this->draining;
  if (next != this->reported_backend) {
    this->reported_backend = next;
    this->DispatchToCalls(next);
  }
}

void RegisterNode::Impl::CloseCallerIntakeIfDue() {
  if (this->caller_intake_deadline && *this->caller_intake_deadline <= this->now) {
    this->caller_intake_deadline.reset();
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
}

void RegisterNode::Impl::Handle(const MessageReceived& event) {
  if (const auto* call = std::get_if<calls::Message>(&event.message)) {
    this->ReportNewerVersion(event.from, *call);
    this->DispatchToCalls(calls::PeerMessage{event.from, *call});
  } else if (const auto* message = std::get_if<directory::Message>(&event.message)) {
    this->DispatchToDirectory(directory::PeerMessageReceived{event.from, *message});
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
}

void RegisterNode::Impl::Handle(const DrainRequested& /*event*/) {
  if (this->draining) {
    return;
  }
  this->draining = true;
  this->caller_intake_deadline = this->now + this->drain_grace_period;
  this->DispatchToDirectory(directory::DrainStarted{});
}

void RegisterNode::Impl::Handle(const directory::BackendServerReady& event) {
  this->announced_backend = {event.service, event.slots, true};
  this->DispatchToDirectory(event);
}

void RegisterNode::Impl::Handle(const directory::BackendServerUnavailable& event) {
  this->announced_backend.available = false;
  this->DispatchToDirectory(event);
}

void RegisterNode::Impl::Handle(const calls::CallReceived& event) {
  this->invariants.OnCallOpened(event.call, this->violations);
  this->DispatchToCalls(event);
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
  return std::unique_ptr<RegisterNode>(
      new RegisterNode(std::make_unique<Impl>(options, *std::move(directory), *std::move(calls))));
}

RegisterNode::RegisterNode(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
RegisterNode::~RegisterNode() = default;

std::vector<RegisterEffect> RegisterNode::Reduce(const RegisterEvent& event, Timestamp now) {
  Impl& modules = *this->impl;
  modules.now = now;
  std::visit([&modules](const auto& value) { modules.Handle(value); }, event);
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
  for (const auto& wake : {modules.directory.NextWake(), modules.calls.NextWake()}) {
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

}  // namespace amaranthlatch::node
