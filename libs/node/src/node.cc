// Composition of the three reducers.

#include "amaranthlatch/node/node.h"

#include <sodium.h>

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

namespace amaranthlatch::node {

namespace {

using utils::Timestamp;

// An event of the host causes a handful of events between modules. Many more mean a cycle.
constexpr std::size_t kMaxInnerEvents = 64;
// A node that resumes after a pause admits calls at the latest after this time: by then a peer has
// answered a probe, or none can be reached.
constexpr utils::Duration kRecheckTimeout = utils::Seconds(2);

using InnerEvent = std::variant<membership::Event, distribution::Event, calls::Event>;

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

struct Node::Parts {
  Parts(membership::Membership membership, distribution::Distribution distribution,
        calls::Calls calls)
      : membership(std::move(membership)),
        distribution(std::move(distribution)),
        calls(std::move(calls)) {}

  // Wakes the modules that are due; after a pause this closes admission before the event.
  void WakeDueModules();
  void DetectPause();

  void Handle(const WakeUp& /*event*/) {}
  void Handle(const MessageReceived& event);
  void Handle(const MessageNotSent& event);
  void Handle(const PeerUnreachable& event);
  void Handle(const BackendServerAnnounced& event);
  void Handle(const BackendServerLost& event);
  void Handle(const DrainRequested& event);
  // Sends this node's changed record to the nodes that lately sent it calls.
  void TellCallers();
  void Handle(const calls::CallReceived& event);
  template <typename T>
  void Handle(const T& event);

  // Gives queued events to their modules, and what these cause, until nothing is left.
  void Settle();
  void Dispatch(const InnerEvent& event);
  void UpdateAdmission();

  void Take(membership::Effect effect);
  void Take(distribution::Effect effect);
  void Take(calls::Effect effect);
  void TakeOne(membership::SendMessage effect);
  void TakeOne(distribution::SendMessage effect);
  void TakeOne(calls::SendMessage effect);
  void TakeOne(distribution::ReadinessChanged effect);
  void TakeOne(calls::DrainFinished effect);
  void TakeOne(calls::AnswerCaller effect);
  template <typename T>
  void TakeOne(T effect);

  void CheckInvariants();

  membership::Membership membership;
  distribution::Distribution distribution;
  calls::Calls calls;
  InvariantChecker invariants;
  details::RecentCallers callers;
  Counters counters;

  std::deque<InnerEvent> queue;
  std::vector<Effect> effects;
  std::vector<InvariantViolated> violations;
  Timestamp now{};
  bool begun = false;

  // What calls were told last.
  bool admitting = false;
  calls::BackendServerChanged backend;
  // Start of the recheck after a pause, until it is over.
  std::optional<Timestamp> recheck_since;
  std::uint64_t seen_pauses = 0;
  bool calls_violation_reported = false;
};

void Node::Parts::WakeDueModules() {
  const auto due = [this](const std::optional<Timestamp>& wake) {
    return wake && *wake <= this->now;
  };
  if (!this->begun || due(this->membership.NextWake())) {
    this->queue.emplace_back(membership::Event(membership::WakeUp{}));
  }
  if (!this->begun || due(this->distribution.NextWake())) {
    this->queue.emplace_back(distribution::Event(distribution::WakeUp{}));
  }
  if (due(this->calls.NextWake())) {
    this->queue.emplace_back(calls::Event(calls::WakeUp{}));
  }
  this->begun = true;
  this->Settle();
  this->DetectPause();
  this->UpdateAdmission();
}

void Node::Parts::DetectPause() {
  const std::uint64_t pauses = this->membership.Counts().pauses;
  if (pauses != this->seen_pauses) {
    this->seen_pauses = pauses;
    this->recheck_since = this->now;
  }
  const auto answered = this->membership.LastProbeAnswered();
  if (this->recheck_since && ((answered && *answered >= *this->recheck_since) ||
                              this->now - *this->recheck_since >= kRecheckTimeout)) {
    this->recheck_since.reset();
  }
}

void Node::Parts::Handle(const MessageReceived& event) {
  if (const auto* member = std::get_if<membership::Message>(&event.message)) {
    this->queue.emplace_back(membership::Event(membership::PeerMessage{event.from, *member}));
  } else if (const auto* entry = std::get_if<distribution::Message>(&event.message)) {
    this->queue.emplace_back(distribution::Event(distribution::PeerMessage{event.from, *entry}));
  } else if (const auto* call = std::get_if<calls::Message>(&event.message)) {
    if (std::holds_alternative<calls::CallRequest>(*call)) {
      this->callers.Heard(event.from, this->now);
    }
    this->queue.emplace_back(calls::Event(calls::PeerMessage{event.from, *call}));
  }
}

void Node::Parts::Handle(const MessageNotSent& event) {
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

void Node::Parts::Handle(const PeerUnreachable& event) {
  this->queue.emplace_back(membership::Event(membership::PeerUnreachable{event.id}));
  this->queue.emplace_back(distribution::Event(distribution::PeerUnreachable{event.id}));
  this->queue.emplace_back(calls::Event(calls::PeerUnreachable{event.id}));
}

void Node::Parts::Handle(const BackendServerAnnounced& event) {
  this->queue.emplace_back(membership::Event(
      membership::BackendServerAnnounced{event.service, event.labels, event.slots}));
  calls::BackendServerChanged next{event.service, event.slots, true};
  if (next != this->backend) {
    this->backend = next;
    this->queue.emplace_back(calls::Event(std::move(next)));
  }
}

void Node::Parts::Handle(const BackendServerLost& /*event*/) {
  this->queue.emplace_back(membership::Event(membership::BackendServerLost{}));
  if (this->backend.available) {
    this->backend.available = false;
    this->queue.emplace_back(calls::Event(this->backend));
  }
  this->TellCallers();
}

void Node::Parts::Handle(const DrainRequested& /*event*/) {
  this->queue.emplace_back(membership::Event(membership::DrainStarted{}));
  this->queue.emplace_back(calls::Event(calls::DrainStarted{}));
  this->TellCallers();
}

void Node::Parts::TellCallers() {
  this->Settle();
  // Promise P7: the nodes that send calls here must know before the update has spread.
  const membership::MemberUpdates update{{this->membership.View().Self()}, 0};
  for (const membership::NodeId& caller : this->callers.List(this->now)) {
    this->effects.emplace_back(SendMessage{caller, membership::Message(update)});
  }
}

void Node::Parts::Handle(const calls::CallReceived& event) {
  this->invariants.OnCallOpened(event.call, this->violations);
  this->queue.emplace_back(calls::Event(event));
}

template <typename T>
void Node::Parts::Handle(const T& event) {
  if constexpr (std::is_constructible_v<calls::Event, const T&>) {
    this->queue.emplace_back(calls::Event(event));
  } else {
    this->queue.emplace_back(distribution::Event(event));
  }
}

void Node::Parts::Settle() {
  for (std::size_t handled = 0; !this->queue.empty(); ++handled) {
    if (handled >= kMaxInnerEvents) {
      this->violations.push_back({"bounded work", "events between modules do not end"});
      this->queue.clear();
      return;
    }
    const InnerEvent event = std::move(this->queue.front());
    this->queue.pop_front();
    this->Dispatch(event);
  }
}

void Node::Parts::Dispatch(const InnerEvent& event) {
  if (const auto* member = std::get_if<membership::Event>(&event)) {
    for (auto& effect : this->membership.Reduce(*member, this->now)) {
      this->Take(std::move(effect));
    }
  } else if (const auto* entry = std::get_if<distribution::Event>(&event)) {
    for (auto& effect : this->distribution.Reduce(*entry, this->now, this->membership.View())) {
      this->Take(std::move(effect));
    }
  } else if (const auto* call = std::get_if<calls::Event>(&event)) {
    for (auto& effect : this->calls.Reduce(*call, this->now, this->membership.View(),
                                           this->distribution.InForce())) {
      this->Take(std::move(effect));
    }
  }
}

void Node::Parts::UpdateAdmission() {
  const bool open = this->distribution.Ready() && !this->recheck_since;
  if (open != this->admitting) {
    this->admitting = open;
    this->queue.emplace_back(calls::Event(calls::AdmissionChanged{open}));
    this->Settle();
  }
}

void Node::Parts::Take(membership::Effect effect) {
  std::visit([this](auto& value) { this->TakeOne(std::move(value)); }, effect);
}

void Node::Parts::Take(distribution::Effect effect) {
  std::visit([this](auto& value) { this->TakeOne(std::move(value)); }, effect);
}

void Node::Parts::Take(calls::Effect effect) {
  std::visit([this](auto& value) { this->TakeOne(std::move(value)); }, effect);
}

void Node::Parts::TakeOne(membership::SendMessage effect) {
  this->effects.emplace_back(SendMessage{std::move(effect.to), std::move(effect.message)});
}

void Node::Parts::TakeOne(distribution::SendMessage effect) {
  this->effects.emplace_back(SendMessage{std::move(effect.to), std::move(effect.message)});
}

void Node::Parts::TakeOne(calls::SendMessage effect) {
  this->effects.emplace_back(SendMessage{std::move(effect.to), std::move(effect.message)});
}

void Node::Parts::TakeOne(distribution::ReadinessChanged effect) {
  // A recheck after a pause closes admission here but does not change the record: each change of
  // the record raises the incarnation, which would make the permits of this gate invalid.
  if (effect.ready) {
    this->queue.emplace_back(membership::Event(membership::ReadinessChanged{true}));
  }
  this->effects.emplace_back(std::move(effect));
}

void Node::Parts::TakeOne(calls::DrainFinished effect) {
  this->queue.emplace_back(membership::Event(membership::DrainFinished{}));
  this->effects.emplace_back(effect);
}

void Node::Parts::TakeOne(calls::AnswerCaller effect) {
  this->invariants.OnCallAnswered(effect.call, this->violations);
  this->effects.emplace_back(std::move(effect));
}

template <typename T>
void Node::Parts::TakeOne(T effect) {
  this->effects.emplace_back(std::move(effect));
}

void Node::Parts::CheckInvariants() {
  this->invariants.CheckState(this->distribution.InForce(), this->distribution.Held(),
                              this->violations);
  const std::string& broken = this->calls.FirstViolation();
  if (!broken.empty() && !this->calls_violation_reported) {
    this->calls_violation_reported = true;
    this->violations.push_back({"calls", broken});
  }
  this->counters.state_checks = this->invariants.StateChecks();
  this->counters.invariant_violations += this->violations.size();
  for (InvariantViolated& violation : this->violations) {
    this->effects.emplace_back(std::move(violation));
  }
  this->violations.clear();
}

Node::Node(std::unique_ptr<Parts> parts) : parts(std::move(parts)) {}
Node::~Node() = default;

utils::Result<std::unique_ptr<Node>> Node::Create(const NodeOptions& options) {
  if (sodium_init() < 0) {
    return utils::Fail(utils::ErrorCode::kSettingsOutOfRange, "libsodium cannot be initialised");
  }
  if (options.secret.empty()) {
    return utils::Fail(utils::ErrorCode::kSettingsOutOfRange, "the shared secret is empty",
                       "/secret");
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
  return std::unique_ptr<Node>(new Node(std::make_unique<Parts>(
      *std::move(membership), *std::move(distribution), *std::move(calls))));
}

std::vector<Effect> Node::Reduce(const Event& event, Timestamp now) {
  Parts& all = *this->parts;
  ++all.counters.events;
  all.now = now;
  all.WakeDueModules();
  std::visit([&all](const auto& value) { all.Handle(value); }, event);
  all.Settle();
  all.DetectPause();
  all.UpdateAdmission();
  all.CheckInvariants();
  all.counters.effects += all.effects.size();
  return std::exchange(all.effects, {});
}

std::optional<Timestamp> Node::NextWake() const {
  const Parts& all = *this->parts;
  if (!all.begun) {
    return Timestamp{};
  }
  std::optional<Timestamp> next;
  const auto keep = [&next](const std::optional<Timestamp>& wake) {
    if (wake && (!next || *wake < *next)) {
      next = wake;
    }
  };
  keep(all.membership.NextWake());
  keep(all.distribution.NextWake());
  keep(all.calls.NextWake());
  if (all.recheck_since) {
    keep(*all.recheck_since + kRecheckTimeout);
  }
  return next;
}

const document::RouteTable& Node::Routes() const { return this->parts->distribution.InForce(); }

const acceptance::State& Node::InForce() const { return this->parts->distribution.InForce(); }

const membership::MemberView& Node::Members() const { return this->parts->membership.View(); }

Status Node::GetStatus() const {
  const Parts& all = *this->parts;
  const acceptance::State& state = all.distribution.InForce();
  Status status;
  status.self = all.membership.View().Self();
  status.ready = all.admitting;
  status.reason = all.distribution.Reason();
  if (status.reason.empty() && all.recheck_since) {
    status.reason = "recheck after a pause";
  }
  status.holding = all.membership.Holding();
  status.held_offset = all.distribution.Held();
  status.in_force_offset = state.HeadOffset();
  status.log_head = all.distribution.LogHead();
  status.stopped_at = all.distribution.StoppedAt();
  for (const std::string& service : state.Services()) {
    status.services.push_back({service, state.FindAccepted(service)->version});
  }
  status.members_by_state = all.membership.CountByState();
  return status;
}

CounterSnapshot Node::GetCounters() const {
  const Parts& all = *this->parts;
  return {all.counters, all.membership.Counts(), all.distribution.GetCounters(),
          all.calls.GetCounters(), all.calls.GetGauges()};
}

}  // namespace amaranthlatch::node
