// Composition of the membership, distribution and calls reducers.

#include "amaranthlatch/node/node.h"

#include <deque>
#include <string>
#include <utility>
#include <variant>

#include "amaranthlatch/calls/calls.h"
#include "amaranthlatch/distribution/distribution.h"
#include "amaranthlatch/membership/membership.h"
#include "amaranthlatch/node/envelope.h"
#include "amaranthlatch/node/invariants.h"
#include "amaranthlatch/utils/hash.h"
#include "recent_callers.h"
#include "wake_time.h"

namespace amaranthlatch::node {

namespace {

using utils::Timestamp;

// A host event normally causes a handful of events between modules; many more indicate a cycle.
constexpr std::size_t kMaxModuleEvents = 64;
// Longest time that a node withholds admission after a process pause. By then either a peer has
// answered a probe or no peer is reachable.
constexpr utils::Duration kRecheckTimeout = utils::Seconds(2);

using ModuleEvent = std::variant<membership::Event, distribution::Event, calls::Event>;

enum class SeedPurpose : std::uint64_t { kMembership = 1, kDistribution = 2, kCalls = 3 };

std::uint64_t DeriveSeed(std::uint64_t seed, SeedPurpose purpose) {
  return utils::CombineHash(seed, static_cast<std::uint64_t>(purpose));
}

membership::Options MembershipOptions(const NodeOptions& node) {
  membership::Options options = node.membership;
  options.id = node.id;
  options.region = node.region;
  options.zone = node.zone;
  options.data_address = node.data_address;
  options.seeds = node.seeds;
  options.boot_id = node.boot_id;
  options.wall_time_ms = node.wall_time_ms;
  options.seed = DeriveSeed(node.seed, SeedPurpose::kMembership);
  return options;
}

distribution::Options DistributionOptions(const NodeOptions& node) {
  distribution::Options options = node.distribution;
  options.seed = DeriveSeed(node.seed, SeedPurpose::kDistribution);
  return options;
}

calls::Options CallsOptions(const NodeOptions& node) {
  calls::Options options = node.calls;
  options.seed = DeriveSeed(node.seed, SeedPurpose::kCalls);
  options.permit_key = DeriveKey(node.secret, KeyPurpose::kPermit);
  return options;
}

}  // namespace

struct Node::Impl {
  Impl(membership::Membership membership, distribution::Distribution distribution,
       calls::Calls calls)
      : membership(std::move(membership)),
        distribution(std::move(distribution)),
        calls(std::move(calls)) {}

  // Wakes the modules that are due. After a pause, admission closes before the event is handled.
  void WakeDueModules();
  void DetectPause();

  void Handle(const WakeUp& /*event*/) {}
  void Handle(const MessageReceived& event);
  void Handle(const MessageNotSent& event);
  void Handle(const PeerUnreachable& event);
  void Handle(const BackendServerAnnounced& event);
  void Handle(const BackendServerLost& event);
  void Handle(const DrainRequested& event);
  // Sends this node's changed member record to the nodes that recently sent it calls.
  void NotifyRecentCallers();
  void Handle(const calls::CallReceived& event);
  template <typename T>
  void Handle(const T& event);

  // Dispatches queued events, including those that they cause, until the queue is empty.
  void ProcessQueuedEvents();
  void DispatchEvent(const ModuleEvent& event);
  void UpdateAdmission();

  void DispatchEffect(membership::Effect effect);
  void DispatchEffect(distribution::Effect effect);
  void DispatchEffect(calls::Effect effect);
  void HandleEffect(membership::SendMessage effect);
  void HandleEffect(distribution::SendMessage effect);
  void HandleEffect(calls::SendMessage effect);
  void HandleEffect(distribution::ReadinessChanged effect);
  void HandleEffect(calls::DrainFinished effect);
  void HandleEffect(calls::AnswerCaller effect);
  template <typename T>
  void HandleEffect(T effect);

  void CheckInvariants();

  membership::Membership membership;
  distribution::Distribution distribution;
  calls::Calls calls;
  InvariantChecker invariants;
  details::RecentCallers recent_callers;
  Counters counters;

  std::deque<ModuleEvent> queue;
  std::vector<Effect> effects;
  std::vector<InvariantViolated> violations;
  Timestamp now{};
  bool started = false;

  // State last reported to the calls module.
  bool admitting = false;
  calls::BackendServerChanged reported_backend;
  // Start of the recheck after a pause; empty when no recheck is in progress.
  std::optional<Timestamp> recheck_since;
  std::uint64_t observed_pauses = 0;
};

void Node::Impl::WakeDueModules() {
  if (!this->started || details::IsDue(this->membership.NextWake(), this->now)) {
    this->queue.emplace_back(membership::Event(membership::WakeUp{}));
  }
  if (!this->started || details::IsDue(this->distribution.NextWake(), this->now)) {
    this->queue.emplace_back(distribution::Event(distribution::WakeUp{}));
  }
  if (details::IsDue(this->calls.NextWake(), this->now)) {
    this->queue.emplace_back(calls::Event(calls::WakeUp{}));
  }
  this->started = true;
  this->ProcessQueuedEvents();
  this->DetectPause();
  this->UpdateAdmission();
}

void Node::Impl::DetectPause() {
  const std::uint64_t pauses = this->membership.GetCounters().pauses;
  if (pauses != this->observed_pauses) {
    this->observed_pauses = pauses;
    this->recheck_since = this->now;
  }
  const auto answered = this->membership.LastProbeAckTime();
  if (this->recheck_since && ((answered && *answered >= *this->recheck_since) ||
                              this->now - *this->recheck_since >= kRecheckTimeout)) {
    this->recheck_since.reset();
  }
}

void Node::Impl::Handle(const MessageReceived& event) {
  if (const auto* member = std::get_if<membership::Message>(&event.message)) {
    this->queue.emplace_back(membership::Event(membership::PeerMessage{event.from, *member}));
  } else if (const auto* entry = std::get_if<distribution::Message>(&event.message)) {
    this->queue.emplace_back(distribution::Event(distribution::PeerMessage{event.from, *entry}));
  } else if (const auto* call = std::get_if<calls::Message>(&event.message)) {
    if (std::holds_alternative<calls::CallRequest>(*call)) {
      this->recent_callers.RecordCall(event.from, this->now);
    }
    this->queue.emplace_back(calls::Event(calls::PeerMessage{event.from, *call}));
  }
}

void Node::Impl::Handle(const MessageNotSent& event) {
  if (const auto* call = std::get_if<calls::Message>(&event.message)) {
    if (const auto* request = std::get_if<calls::CallRequest>(call)) {
      this->queue.emplace_back(calls::Event(calls::AttemptNotSent{request->id}));
    }
  } else if (std::holds_alternative<distribution::Message>(event.message)) {
    this->queue.emplace_back(distribution::Event(distribution::PeerUnreachable{event.to}));
  } else {
    this->queue.emplace_back(membership::Event(membership::PeerUnreachable{event.to}));
  }
}

void Node::Impl::Handle(const PeerUnreachable& event) {
  this->queue.emplace_back(membership::Event(membership::PeerUnreachable{event.id}));
  this->queue.emplace_back(distribution::Event(distribution::PeerUnreachable{event.id}));
  this->queue.emplace_back(calls::Event(calls::PeerUnreachable{event.id}));
}

void Node::Impl::Handle(const BackendServerAnnounced& event) {
  this->queue.emplace_back(membership::Event(
      membership::BackendServerAnnounced{event.service, event.labels, event.slots}));
  calls::BackendServerChanged next{event.service, event.slots, true};
  if (next != this->reported_backend) {
    this->reported_backend = next;
    this->queue.emplace_back(calls::Event(std::move(next)));
  }
}

void Node::Impl::Handle(const BackendServerLost& /*event*/) {
  this->queue.emplace_back(membership::Event(membership::BackendServerLost{}));
  if (this->reported_backend.available) {
    this->reported_backend.available = false;
    this->queue.emplace_back(calls::Event(this->reported_backend));
  }
  this->NotifyRecentCallers();
}

void Node::Impl::Handle(const DrainRequested& /*event*/) {
  this->queue.emplace_back(membership::Event(membership::DrainStarted{}));
  this->queue.emplace_back(calls::Event(calls::DrainStarted{}));
  this->NotifyRecentCallers();
}

void Node::Impl::NotifyRecentCallers() {
  this->ProcessQueuedEvents();
  // Guarantee P7: nodes that send calls here must learn of the change before gossip delivers it.
  const membership::MemberUpdates update{{this->membership.View().Self()}, 0};
  for (const membership::NodeId& caller : this->recent_callers.List(this->now)) {
    this->effects.emplace_back(SendMessage{caller, membership::Message(update)});
  }
}

void Node::Impl::Handle(const calls::CallReceived& event) {
  this->invariants.OnCallOpened(event.call, this->violations);
  this->queue.emplace_back(calls::Event(event));
}

template <typename T>
void Node::Impl::Handle(const T& event) {
  if constexpr (std::is_constructible_v<calls::Event, const T&>) {
    this->queue.emplace_back(calls::Event(event));
  } else {
    this->queue.emplace_back(distribution::Event(event));
  }
}

void Node::Impl::ProcessQueuedEvents() {
  for (std::size_t handled = 0; !this->queue.empty(); ++handled) {
    if (handled >= kMaxModuleEvents) {
      this->violations.push_back(
          {"bounded work", "module events exceed the limit for one input event"});
      this->queue.clear();
      return;
    }
    const ModuleEvent event = std::move(this->queue.front());
    this->queue.pop_front();
    this->DispatchEvent(event);
  }
}

void Node::Impl::DispatchEvent(const ModuleEvent& event) {
  if (const auto* member = std::get_if<membership::Event>(&event)) {
    for (auto& effect : this->membership.Reduce(*member, this->now)) {
      this->DispatchEffect(std::move(effect));
    }
  } else if (const auto* entry = std::get_if<distribution::Event>(&event)) {
    for (auto& effect : this->distribution.Reduce(*entry, this->now, this->membership.View())) {
      this->DispatchEffect(std::move(effect));
    }
  } else if (const auto* call = std::get_if<calls::Event>(&event)) {
    for (auto& effect : this->calls.Reduce(*call, this->now, this->membership.View(),
                                           this->distribution.InForce())) {
      this->DispatchEffect(std::move(effect));
    }
  }
}

void Node::Impl::UpdateAdmission() {
  const bool open = this->distribution.Ready() && !this->recheck_since;
  if (open != this->admitting) {
    this->admitting = open;
    this->queue.emplace_back(calls::Event(calls::AdmissionChanged{open}));
    this->ProcessQueuedEvents();
  }
}

void Node::Impl::DispatchEffect(membership::Effect effect) {
  std::visit([this](auto& value) { this->HandleEffect(std::move(value)); }, effect);
}

void Node::Impl::DispatchEffect(distribution::Effect effect) {
  std::visit([this](auto& value) { this->HandleEffect(std::move(value)); }, effect);
}

void Node::Impl::DispatchEffect(calls::Effect effect) {
  std::visit([this](auto& value) { this->HandleEffect(std::move(value)); }, effect);
}

void Node::Impl::HandleEffect(membership::SendMessage effect) {
  this->effects.emplace_back(SendMessage{std::move(effect.to), std::move(effect.message)});
}

void Node::Impl::HandleEffect(distribution::SendMessage effect) {
  this->effects.emplace_back(SendMessage{std::move(effect.to), std::move(effect.message)});
}

void Node::Impl::HandleEffect(calls::SendMessage effect) {
  this->effects.emplace_back(SendMessage{std::move(effect.to), std::move(effect.message)});
}

void Node::Impl::HandleEffect(distribution::ReadinessChanged effect) {
  // A recheck after a pause closes admission locally but leaves the member record unchanged: each
  // change to the record increments the incarnation, which would invalidate this gate's permits.
  if (effect.ready) {
    this->queue.emplace_back(membership::Event(membership::ReadinessChanged{true}));
  }
  this->effects.emplace_back(std::move(effect));
}

void Node::Impl::HandleEffect(calls::DrainFinished effect) {
  this->queue.emplace_back(membership::Event(membership::DrainFinished{}));
  this->effects.emplace_back(effect);
}

void Node::Impl::HandleEffect(calls::AnswerCaller effect) {
  this->invariants.OnCallAnswered(effect.call, this->violations);
  this->effects.emplace_back(std::move(effect));
}

template <typename T>
void Node::Impl::HandleEffect(T effect) {
  this->effects.emplace_back(std::move(effect));
}

void Node::Impl::CheckInvariants() {
  this->invariants.CheckState(this->distribution.InForce(), this->distribution.Held(),
                              this->violations);
  this->invariants.CheckCalls(this->calls.FirstViolation(), this->violations);
  this->counters.state_checks = this->invariants.StateChecks();
  this->counters.invariant_violations += this->violations.size();
  for (InvariantViolated& violation : this->violations) {
    this->effects.emplace_back(std::move(violation));
  }
  this->violations.clear();
}

Node::Node(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
Node::~Node() = default;

utils::Result<std::unique_ptr<Node>> Node::Create(const NodeOptions& options) {
  if (const auto usable = CheckSecret(options.secret); !usable) {
    return tl::unexpected(usable.error());
  }
  auto membership = membership::Membership::Create(MembershipOptions(options));
  if (!membership) {
    return tl::unexpected<utils::Error>(membership.error());
  }
  auto distribution = distribution::Distribution::Create(DistributionOptions(options));
  if (!distribution) {
    return tl::unexpected<utils::Error>(distribution.error());
  }
  auto calls = calls::Calls::Create(CallsOptions(options));
  if (!calls) {
    return tl::unexpected<utils::Error>(calls.error());
  }
  return std::unique_ptr<Node>(new Node(
      std::make_unique<Impl>(*std::move(membership), *std::move(distribution), *std::move(calls))));
}

std::vector<Effect> Node::Reduce(const Event& event, Timestamp now) {
  Impl& modules = *this->impl;
  ++modules.counters.events;
  modules.now = now;
  modules.WakeDueModules();
  std::visit([&modules](const auto& value) { modules.Handle(value); }, event);
  modules.ProcessQueuedEvents();
  modules.DetectPause();
  modules.UpdateAdmission();
  modules.CheckInvariants();
  modules.counters.effects += modules.effects.size();
  return std::exchange(modules.effects, {});
}

std::optional<Timestamp> Node::NextWake() const {
  const Impl& modules = *this->impl;
  if (!modules.started) {
    return Timestamp{};
  }
  std::optional<Timestamp> next;
  for (const auto& wake :
       {modules.membership.NextWake(), modules.distribution.NextWake(), modules.calls.NextWake()}) {
    next = details::Earlier(next, wake);
  }
  if (modules.recheck_since) {
    next = details::Earlier(next, *modules.recheck_since + kRecheckTimeout);
  }
  return next;
}

const document::RouteTable& Node::Routes() const { return this->impl->distribution.InForce(); }

const acceptance::State& Node::InForce() const { return this->impl->distribution.InForce(); }

const membership::MemberView& Node::Members() const { return this->impl->membership.View(); }

Status Node::GetStatus() const {
  const Impl& modules = *this->impl;
  const acceptance::State& state = modules.distribution.InForce();
  Status status;
  status.self = modules.membership.View().Self();
  status.ready = modules.admitting;
  status.reason = modules.distribution.Reason();
  if (status.reason.empty() && modules.recheck_since) {
    status.reason = "recheck after a pause";
  }
  status.holding = modules.membership.IsHolding();
  status.held = modules.distribution.Held();
  status.in_force = state.HeadOffset();
  status.log_head = modules.distribution.LogHead();
  status.stopped_at = modules.distribution.StoppedAt();
  for (const std::string& service : state.Services()) {
    status.services.push_back({service, state.FindAccepted(service)->version});
  }
  status.members_by_state = modules.membership.CountByState();
  return status;
}

CounterSnapshot Node::GetCounters() const {
  const Impl& modules = *this->impl;
  return {modules.counters, modules.membership.GetCounters(), modules.distribution.GetCounters(),
          modules.calls.GetCounters(), modules.calls.GetGauges()};
}

}  // namespace amaranthlatch::node
