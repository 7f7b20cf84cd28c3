// Composition of directory and calls.

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

// The routes before the first configuration is known.
class NoRoutes final : public document::RouteTable {
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

struct RegisterNode::Parts {
  Parts(const RegisterNodeOptions& options, directory::Directory directory, calls::Calls calls)
      : drain_grace_period(options.drain_grace_period),
        directory(std::move(directory)),
        calls(std::move(calls)) {}

  void Handle(const WakeUp& event);
  void Handle(const MessageReceived& event);
  void Handle(const MessageNotSent& event);
  void Handle(const PeerUnreachable& event);
  void Handle(const DrainRequested& event);
  void Handle(const directory::BackendServerReady& event);
  void Handle(const directory::BackendServerGone& event);
  void Handle(const calls::CallReceived& event);
  template <typename T>
  void Handle(const T& event);

  void GiveDirectory(const directory::Event& event);
  void GiveCalls(const calls::Event& event);
  // Tells the directory if a call was routed by a newer configuration.
  void NoteVersion(const calls::Message& message);
  // Tells calls what has changed for them.
  void UpdateCalls();
  void CloseEntryIfDue();

  template <typename T>
  void Take(T effect) {
    this->effects.emplace_back(std::move(effect));
  }
  void Take(calls::SendMessage effect) {
    this->effects.emplace_back(SendMessage{std::move(effect.to), std::move(effect.message)});
  }
  void Take(calls::AnswerCaller effect) {
    this->invariants.OnCallAnswered(effect.call, this->violations);
    this->effects.emplace_back(std::move(effect));
  }
  // Permits are part of the product's own protocol towards callers only.
  void Take(const calls::AnswerPermit& /*effect*/) {
    this->violations.push_back({"permits", "a permit was answered that nobody asked for"});
  }
  void CheckInvariants();

  const utils::Duration drain_grace_period;
  const NoRoutes no_routes;
  directory::Directory directory;
  calls::Calls calls;
  InvariantChecker invariants;
  std::vector<InvariantViolated> violations;
  std::vector<RegisterEffect> effects;
  Timestamp now{};
  bool begun = false;

  // What calls were told last.
  bool admitting = false;
  calls::BackendServerChanged told;
  // What the backend server last said of itself.
  calls::BackendServerChanged server;
  // Highest version that was in force: it never falls.
  document::Version highest_version = 0;
  bool draining = false;
  // When callers are refused; set while a drain lets them go.
  std::optional<Timestamp> entry_closes;
  bool calls_violation_reported = false;
};

void RegisterNode::Parts::GiveDirectory(const directory::Event& event) {
  for (directory::Effect& effect : this->directory.Reduce(event, this->now)) {
    std::visit([this](auto& value) { this->Take(std::move(value)); }, effect);
  }
  this->UpdateCalls();
}

void RegisterNode::Parts::GiveCalls(const calls::Event& event) {
  const directory::MeshConfiguration::Pointer configuration = this->directory.Configuration();
  const document::RouteTable* routes = &this->no_routes;
  if (configuration != nullptr) {
    routes = configuration.get();
  }
  for (calls::Effect& effect :
       this->calls.Reduce(event, this->now, this->directory.Members(), *routes)) {
    std::visit([this](auto& value) { this->Take(std::move(value)); }, effect);
  }
}

void RegisterNode::Parts::UpdateCalls() {
  if (!this->admitting && this->directory.Configuration() != nullptr) {
    this->admitting = true;
    this->GiveCalls(calls::AdmissionChanged{true});
  }
  calls::BackendServerChanged next = this->server;
  next.available = next.available && !this->draining;
  if (next != this->told) {
    this->told = next;
    this->GiveCalls(next);
  }
}

void RegisterNode::Parts::CloseEntryIfDue() {
  if (this->entry_closes && *this->entry_closes <= this->now) {
    this->entry_closes.reset();
    this->effects.emplace_back(CallerIntakeClosed{});
    this->GiveCalls(calls::DrainStarted{});
  }
}

void RegisterNode::Parts::Handle(const WakeUp& /*event*/) {
  const auto due = [this](const std::optional<Timestamp>& wake) {
    return wake && *wake <= this->now;
  };
  if (!this->begun || due(this->directory.NextWake())) {
    this->GiveDirectory(directory::WakeUp{});
  }
  this->begun = true;
  if (due(this->calls.NextWake())) {
    this->GiveCalls(calls::WakeUp{});
  }
}

void RegisterNode::Parts::Handle(const MessageReceived& event) {
  if (const auto* call = std::get_if<calls::Message>(&event.message)) {
    this->NoteVersion(*call);
    this->GiveCalls(calls::PeerMessage{event.from, *call});
  }
}

void RegisterNode::Parts::NoteVersion(const calls::Message& message) {
  const auto* const request = std::get_if<calls::CallRequest>(&message);
  if (request != nullptr && request->version > this->highest_version) {
    this->GiveDirectory(directory::NewerVersionSeen{request->version});
  }
}

void RegisterNode::Parts::Handle(const MessageNotSent& event) {
  const auto* const call = std::get_if<calls::Message>(&event.message);
  const auto* const request = call == nullptr ? nullptr : std::get_if<calls::CallRequest>(call);
  if (request != nullptr) {
    this->GiveCalls(calls::AttemptNotSent{request->id});
  }
}

void RegisterNode::Parts::Handle(const PeerUnreachable& event) {
  this->GiveCalls(calls::PeerUnreachable{event.id});
}

void RegisterNode::Parts::Handle(const DrainRequested& /*event*/) {
  if (this->draining) {
    return;
  }
  this->draining = true;
  this->entry_closes = this->now + this->drain_grace_period;
  this->GiveDirectory(directory::DrainStarted{});
}

void RegisterNode::Parts::Handle(const directory::BackendServerReady& event) {
  this->server = {event.service, event.slots, true};
  this->GiveDirectory(event);
}

void RegisterNode::Parts::Handle(const directory::BackendServerGone& event) {
  this->server.available = false;
  this->GiveDirectory(event);
}

void RegisterNode::Parts::Handle(const calls::CallReceived& event) {
  this->invariants.OnCallOpened(event.call, this->violations);
  this->GiveCalls(event);
}

template <typename T>
void RegisterNode::Parts::Handle(const T& event) {
  if constexpr (std::is_constructible_v<calls::Event, const T&>) {
    this->GiveCalls(event);
  } else {
    this->GiveDirectory(event);
  }
}

void RegisterNode::Parts::CheckInvariants() {
  const directory::MeshConfiguration::Pointer configuration = this->directory.Configuration();
  if (configuration != nullptr) {
    if (configuration->GetVersion() < this->highest_version) {
      this->violations.push_back({"P1", "the version in force has fallen"});
    }
    this->highest_version = configuration->GetVersion();
  }
  const std::string& broken = this->calls.FirstViolation();
  if (!broken.empty() && !this->calls_violation_reported) {
    this->calls_violation_reported = true;
    this->violations.push_back({"calls", broken});
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
  calls::Options for_calls = options.calls;
  for_calls.permit_key = DeriveKey(options.secret, KeyPurpose::kPermit);
  auto calls = calls::Calls::Create(
      for_calls, std::make_unique<calls::ExpectedTimePolicy>(calls::ExpectedTimePolicy::Weights{}));
  if (!calls) {
    return tl::unexpected(calls.error());
  }
  return std::unique_ptr<RegisterNode>(
      new RegisterNode(std::make_unique<Parts>(options, *std::move(directory), *std::move(calls))));
}

RegisterNode::RegisterNode(std::unique_ptr<Parts> parts) : parts(std::move(parts)) {}
RegisterNode::~RegisterNode() = default;

std::vector<RegisterEffect> RegisterNode::Reduce(const RegisterEvent& event, Timestamp now) {
  Parts& all = *this->parts;
  all.now = now;
  std::visit([&all](const auto& value) { all.Handle(value); }, event);
  all.CloseEntryIfDue();
  all.CheckInvariants();
  return std::exchange(all.effects, {});
}

std::optional<Timestamp> RegisterNode::NextWake() const {
  const Parts& all = *this->parts;
  if (!all.begun) {
    return Timestamp{};
  }
  std::optional<Timestamp> next = all.entry_closes;
  for (const auto& wake : {all.directory.NextWake(), all.calls.NextWake()}) {
    if (wake && (!next || *wake < *next)) {
      next = wake;
    }
  }
  return next;
}

bool RegisterNode::Ready() const { return this->parts->admitting && !this->parts->draining; }

directory::MeshConfiguration::Pointer RegisterNode::Configuration() const {
  return this->parts->directory.Configuration();
}

const membership::MemberView& RegisterNode::Members() const {
  return this->parts->directory.Members();
}

const directory::Counters& RegisterNode::DirectoryCounters() const {
  return this->parts->directory.GetCounters();
}

const calls::Counters& RegisterNode::CallCounters() const {
  return this->parts->calls.GetCounters();
}

calls::Gauges RegisterNode::CallGauges() const { return this->parts->calls.GetGauges(); }

}  // namespace amaranthlatch::node
