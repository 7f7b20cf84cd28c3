// Validates the options and dispatches events and messages to the entry side and the gate side.

#include "amaranthlatch/calls/calls.h"

#include <sodium.h>

#include <bit>
#include <deque>
#include <utility>

#include "entry.h"
#include "gate.h"
#include "permit_client.h"

namespace amaranthlatch::calls {

namespace {
using utils::ErrorCode;
using utils::Timestamp;

constexpr std::uint64_t kMinFilterBits = 64;

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

std::string FindInvalidOption(const Options& options) {
  const GateOptions& gate = options.gate;
  if (!std::has_single_bit(gate.refusal_filter_bits) || gate.refusal_filter_bits < kMinFilterBits) {
    return "gate.refusal_filter_bits must be a power of two and at least 64";
  }
  if (gate.fairness_interval < 2) {
    return "gate.fairness_interval must be at least 2";
  }
  if (gate.max_tracked_attempts == 0 || options.permit.capacity == 0 ||
      options.quarantine.capacity == 0 || options.quarantine.direct_receivers == 0) {
    return "gate.max_tracked_attempts, permit.capacity, quarantine.capacity and "
           "quarantine.direct_receivers must be above 0";
  }
  const EntryOptions& entry = options.entry;
  if (entry.fence_retry_interval.count() <= 0 || entry.min_attempt_timeout.count() <= 0 ||
      entry.max_deadline.count() <= 0) {
    return "entry.fence_retry_interval, entry.min_attempt_timeout and entry.max_deadline must be "
           "above 0";
  }
  // A gate that stops tracking an attempt while its fence is pending could run a late copy of it.
  return gate.retention_margin < entry.fence_timeout
             ? "gate.retention_margin must not be below entry.fence_timeout"
             : "";
}
}  // namespace

struct Calls::Parts {
  Parts(const Options& options, std::unique_ptr<BalancePolicy> policy)
      : shared(options),
        balancer(shared, std::move(policy)),
        entry(shared, balancer),
        permits(shared, balancer),
        gate(shared) {}

  // Handles messages from this node to itself within the same event.
  void DeliverLoopback(const details::Context& context);
  void Dispatch(const details::Context& context, const Event& event);
  void OnMessage(const details::Context& context, const membership::NodeId& from, Message message);
  void FinishDrain(const details::Context& context);

  details::SharedState shared;
  details::Balancer balancer;
  details::Entry entry;
  details::PermitClient permits;
  details::Gate gate;
  std::deque<Message> loopback;
  bool open = false;
  bool draining = false;
  bool drain_finished = false;
};

void Calls::Parts::OnMessage(const details::Context& context, const membership::NodeId& from,
                             Message message) {
  std::visit(
      Overloaded{
          [&](CallRequest& request) { this->gate.OnRequest(context, std::move(request)); },
          [&](const CallReply& reply) { this->entry.OnReply(context, reply); },
          [&](const CallCancel& cancel) { this->gate.OnCancel(context, cancel); },
          [&](const CallCancelReply& reply) { this->entry.OnCancelReply(context, reply); },
          [&](const PermitRequest& request) { this->gate.OnPermitRequest(context, from, request); },
          [&](const PermitReply& reply) { this->permits.OnReply(context, reply); },
          [&](const CrashReport& report) { this->gate.OnCrashReport(context, report); },
          [&](const CrashCleared& cleared) { this->gate.OnCrashCleared(context, cleared); },
          [&](const CrashConfirmed& confirmed) { this->gate.OnCrashConfirmed(context, confirmed); },
      },
      message);
}

void Calls::Parts::Dispatch(const details::Context& context, const Event& event) {
  std::visit(
      Overloaded{
          [](const WakeUp&) {},
          [&](const CallReceived& received) { this->entry.OnCall(context, received); },
          [&](const CallerGone& gone) { this->entry.OnCallerGone(context, gone.call); },
          [&](const PermitAsked& asked) {
            const ErrorCode code = this->draining ? ErrorCode::kDraining
                                   : this->open   ? ErrorCode::kOk
                                                  : ErrorCode::kNodeNotReady;
            this->permits.OnAsked(context, asked, code);
          },
          [&](const PeerMessage& peer) { this->OnMessage(context, peer.from, peer.message); },
          [&](const AttemptNotSent& lost) { this->entry.OnNotSent(context, lost.id); },
          [&](const PeerUnreachable& peer) {
            this->entry.OnPeerUnreachable(context, peer.id);
            this->permits.OnPeerUnreachable(context, peer.id);
          },
          [&](const BackendServerAnswered& answered) { this->gate.OnAnswered(context, answered); },
          [&](const BackendServerFailed& failed) { this->gate.OnFailed(context, failed); },
          [&](const BackendServerChanged& changed) {
            this->gate.OnBackendServer(context, changed);
          },
          [&](const AdmissionChanged& admission) {
            this->open = admission.open;
            this->entry.SetAdmission(admission.open);
            this->gate.SetAdmission(admission.open);
          },
          [&](const DrainStarted&) {
            this->draining = true;
            this->entry.SetDraining();
            this->gate.SetDraining();
          },
          [&](const ShutdownScheduled& shutdown) {
            this->entry.OnShutdownScheduled(context, shutdown.time_left);
          },
      },
      event);
}

void Calls::Parts::DeliverLoopback(const details::Context& context) {
  while (!this->loopback.empty()) {
    Message message = std::move(this->loopback.front());
    this->loopback.pop_front();
    this->OnMessage(context, context.members.Self().id, std::move(message));
  }
}

void Calls::Parts::FinishDrain(const details::Context& context) {
  const bool idle = this->gate.IsIdle() && this->entry.IsIdle() && this->permits.IsIdle();
  if (this->draining && !this->drain_finished && idle) {
    this->drain_finished = true;
    context.effects.emplace_back(DrainFinished{});
  }
}

utils::Result<Calls> Calls::Create(const Options& options, std::unique_ptr<BalancePolicy> policy) {
  const std::string error = FindInvalidOption(options);
  if (!error.empty()) {
    return utils::Fail(ErrorCode::kSettingsOutOfRange, error);
  }
  if (sodium_init() < 0) {
    return utils::Fail(ErrorCode::kSettingsOutOfRange, "libsodium cannot be initialised");
  }
  if (!policy) {
    policy = std::make_unique<PowerOfTwoPolicy>();
  }
  return Calls(std::make_unique<Parts>(options, std::move(policy)));
}

Calls::Calls(std::unique_ptr<Parts> parts) : parts(std::move(parts)) {}
Calls::Calls(Calls&&) noexcept = default;
Calls& Calls::operator=(Calls&&) noexcept = default;
Calls::~Calls() = default;

std::vector<Effect> Calls::Reduce(const Event& event, Timestamp now,
                                  const membership::MemberView& members,
                                  const document::RouteTable& routes,
                                  const Authorizer* authorizer) {
  Parts& self = *this->parts;
  std::vector<Effect> effects;
  const details::Context context{now, members, routes, effects, self.loopback, authorizer};
  // Timers that are due fire first, so that the event sees no expired state.
  self.gate.Advance(context);
  self.entry.Advance(context);
  self.DeliverLoopback(context);
  self.Dispatch(context, event);
  self.DeliverLoopback(context);
  self.permits.Advance(context);
  self.entry.Advance(context);
  self.gate.Advance(context);
  self.DeliverLoopback(context);
  self.FinishDrain(context);
  return effects;
}

std::optional<Timestamp> Calls::NextWake() const {
  std::optional<Timestamp> next = this->parts->gate.NextWake();
  for (const auto& other : {this->parts->entry.NextWake(), this->parts->permits.NextWake()}) {
    if (other && (!next || *other < *next)) {
      next = other;
    }
  }
  return next;
}

const Counters& Calls::GetCounters() const { return this->parts->shared.counters; }

Gauges Calls::GetGauges() const {
  Gauges gauges;
  gauges.open_calls = static_cast<std::uint32_t>(this->parts->entry.Size());
  this->parts->gate.FillGauges(gauges);
  return gauges;
}

const std::string& Calls::FirstViolation() const { return this->parts->shared.first_violation; }

}  // namespace amaranthlatch::calls
