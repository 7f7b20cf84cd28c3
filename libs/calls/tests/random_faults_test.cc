// Randomized fault injection: no non-idempotent request runs twice, no request that was reported as
// "not run" has run, and every answer belongs to its request.

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <set>
#include <string>

#include "mesh.h"

namespace amaranthlatch::calls::testing {

namespace {
using utils::Milliseconds;
using utils::Seconds;

constexpr std::size_t kNodes = 4;
constexpr std::uint64_t kMaxFaults = 8;
constexpr utils::Duration kFaultPhase = Seconds(12);
// Longer than any deadline and any message delay.
constexpr utils::Duration kRecoveryPhase = Seconds(12);

enum class FaultKind : std::uint8_t {
  kLoss,
  kDuplicate,
  kDelay,
  kNodeKill,
  kBackendKill,
  kSilent,
  kShed,
  kSlow,
  kPartition,
  kAdmissionClosed,
  kDrain,
  kShutdown,
  kCount,
};

class FaultInjectionRun {
 public:
  explicit FaultInjectionRun(std::uint64_t seed) : random(seed), mesh(kNodes, seed) {
    // With locality most calls stay on their node; without it most cross the network.
    document::ServiceDocument document = FleetDocument();
    if (this->random.Bernoulli(0.75)) {
      document.locality.prefer = document::LocalityPreference::kNone;
    }
    this->mesh.routes.Set(document);
    // From idle to overloaded: 4 nodes with 4 slots each take 107 calls a second at 150 ms.
    constexpr std::array<std::int64_t, 4> kServiceTimes = {5, 20, 60, 150};
    this->service_time = Milliseconds(kServiceTimes.at(this->random.Uniform(kServiceTimes.size())));
    this->RestoreNetwork();
  }

  // Runs the mesh under random faults, lets it recover and returns the first violated invariant, or
  // an empty string.
  std::string RunAndCheck() {
    const std::size_t faults = 1 + this->random.Uniform(kMaxFaults);
    for (std::size_t i = 0; i < faults; ++i) {
      const auto kind = static_cast<FaultKind>(
          this->random.Uniform(static_cast<std::uint64_t>(FaultKind::kCount)));
      const utils::Duration start = this->random.Jitter(kFaultPhase / 3);
      this->mesh.At(start, [this, kind] { this->InjectFault(kind); });
    }
    for (utils::Duration at = Milliseconds(1); at < kFaultPhase; at += Milliseconds(7)) {
      this->mesh.At(at, [this] { this->SendOne(); });
    }
    this->mesh.RunFor(kFaultPhase);
    this->RestoreAll();
    this->mesh.RunFor(kRecoveryPhase);
    return this->FirstViolation();
  }

  std::size_t Answered() const {
    std::size_t count = 0;
    for (const auto& [call, outcome] : this->mesh.Outcomes()) {
      count += outcome.answer && outcome.answer->kind == ResultKind::kAnswered ? 1 : 0;
    }
    return count;
  }

 private:
  std::size_t RandomNode() { return this->random.Uniform(kNodes); }

  void SendOne() {
    const std::string body = "request " + std::to_string(++this->requests);
    const std::uint64_t kind = this->random.Uniform(3);
    const std::size_t node = this->RandomNode();
    if (kind == 0) {
      this->mesh.Call(node, "/read", "read " + body);
    } else if (kind == 1) {
      const std::uint64_t call = this->mesh.Call(node, "/write", body);
      if (this->random.Bernoulli(0.05)) {
        this->mesh.At(this->random.Jitter(Milliseconds(20)),
                      [this, node, call] { this->mesh.Deliver(node, CallerGone{call}); });
      }
    } else {
      this->mesh.AskPermit(node, [this, node, body](const AnswerPermit& answer) {
        if (answer.code == utils::ErrorCode::kOk) {
          // Scheduled as a separate action because the answer may arrive while the node handles an
          // event.
          this->mesh.At({}, [this, node, body, permit = answer.permit] {
            this->SendWithPermit(node, body, permit, 3);
          });
        }
      });
    }
  }

  // Sends the request and resends it through random nodes while it may be answered, lost or open.
  void SendWithPermit(std::size_t node, const std::string& body, const std::string& permit,
                      int sends) {
    const std::uint64_t call = this->mesh.Call(node, "/permit", body, permit);
    if (sends <= 1) {
      return;
    }
    const utils::Duration resend_delay = this->random.Jitter(Seconds(1));
    this->mesh.At(resend_delay, [this, node, call, body, permit, sends] {
      const auto& answer = this->mesh.OutcomeOf(call).answer;
      if (answer && answer->kind == ResultKind::kAnswered && !this->random.Bernoulli(0.2)) {
        return;
      }
      if (this->random.Bernoulli(0.5)) {
        this->mesh.Deliver(node, CallerGone{call});
      }
      this->SendWithPermit(this->RandomNode(), body, permit, sends - 1);
    });
  }

  void InjectFault(FaultKind kind) {
    const std::size_t node = this->RandomNode();
    Backend& backend = this->mesh.nodes[node].backend;
    // Half of the faults are so short that nodes restart while messages to them are in transit.
    const utils::Duration max_duration =
        this->random.Bernoulli(0.5) ? Milliseconds(30) : Seconds(4);
    const utils::Duration duration = Milliseconds(1) + this->random.Jitter(max_duration);
    switch (kind) {
      case FaultKind::kLoss:
        this->mesh.network.loss_rate = 0.2;
        break;
      case FaultKind::kDuplicate:
        this->mesh.network.duplicate_rate = 0.3;
        this->mesh.network.delay_rate = 0.1;
        break;
      case FaultKind::kDelay:
        this->mesh.network.delay_rate = 0.3;
        break;
      case FaultKind::kNodeKill:
        this->mesh.KillNode(node);
        this->mesh.At(duration, [this, node] { this->mesh.StartNode(node); });
        break;
      case FaultKind::kBackendKill:
        this->mesh.KillBackend(node);
        this->mesh.At(duration, [this, node] { this->mesh.StartBackend(node); });
        break;
      case FaultKind::kSilent:
        backend.mode = BackendMode::kSilent;
        break;
      case FaultKind::kShed:
        backend.mode = BackendMode::kShedding;
        break;
      case FaultKind::kSlow:
        backend.service_time = Seconds(3);
        break;
      case FaultKind::kPartition:
        this->mesh.network.partitioned.insert({node, (node + 1) % kNodes});
        break;
      case FaultKind::kAdmissionClosed:
        this->mesh.Deliver(node, AdmissionChanged{false});
        this->mesh.At(duration, [this, node] { this->mesh.Deliver(node, AdmissionChanged{true}); });
        break;
      case FaultKind::kDrain:
        this->mesh.Publish(node, membership::MemberState::kDraining, false);
        this->mesh.Deliver(node, DrainStarted{});
        this->RestartWhenDrained(node);
        break;
      case FaultKind::kShutdown:
        this->ShutDown(node);
        break;
      case FaultKind::kCount:
        break;
    }
    this->mesh.At(duration, [this] { this->RestoreNetwork(); });
  }

  // Ends the process of the node at its limit, which may come before its drain has begun, and
  // checks that every caller has an answer by then.
  void ShutDown(std::size_t node) {
    const std::uint64_t boot = this->mesh.nodes[node].boot;
    if (!this->mesh.nodes[node].calls || !this->shutting_down.insert(boot).second) {
      return;
    }
    const utils::Duration time_left = this->random.Jitter(Seconds(2));
    this->mesh.Publish(node, membership::MemberState::kDraining, false);
    this->mesh.Deliver(node, ShutdownScheduled{time_left});
    this->mesh.At(this->random.Jitter(Seconds(1)), [this, node, boot] {
      if (this->mesh.nodes[node].boot == boot) {
        this->mesh.Deliver(node, DrainStarted{});
      }
    });
    this->mesh.At(time_left + Milliseconds(1), [this, node, boot] {
      if (this->mesh.nodes[node].boot != boot || !this->mesh.nodes[node].calls) {
        return;
      }
      if (this->mesh.nodes[node].calls->GetGauges().open_calls != 0) {
        this->drain_violation = "a caller has no answer at the end of a shutdown";
      }
      this->mesh.KillNode(node);
      this->mesh.StartNode(node);
    });
  }

  // Restarts the node after its drain and checks that it has no open calls, runs or queued calls.
  void RestartWhenDrained(std::size_t node) {
    if (!this->mesh.drained.contains(node)) {
      this->mesh.At(Milliseconds(5), [this, node] { this->RestartWhenDrained(node); });
      return;
    }
    const Gauges gauges = this->mesh.nodes[node].calls->GetGauges();
    if (gauges.open_calls + gauges.in_flight + gauges.queued != 0) {
      this->drain_violation = "drain finished with outstanding calls";
    }
    this->mesh.KillNode(node);
    this->mesh.StartNode(node);
  }

  void RestoreNetwork() {
    this->mesh.network = Network{};
    for (Node& node : this->mesh.nodes) {
      node.backend.service_time = this->service_time;
      if (node.backend.mode != BackendMode::kDead) {
        node.backend.mode = BackendMode::kNormal;
      }
    }
  }

  void RestoreAll() {
    this->RestoreNetwork();
    for (std::size_t i = 0; i < kNodes; ++i) {
      this->mesh.StartNode(i);
      this->mesh.StartBackend(i);
    }
  }

  std::string FirstViolation() const {
    if (!this->mesh.FirstError().empty()) {
      return this->mesh.FirstError();
    }
    if (!this->drain_violation.empty()) {
      return this->drain_violation;
    }
    for (const auto& [call, outcome] : this->mesh.Outcomes()) {
      const int runs = this->mesh.RunsOf(outcome.body);
      if (!outcome.answer && !outcome.lost) {
        return "call was never answered: " + outcome.body;
      }
      if (runs > 1 && !outcome.body.starts_with("read")) {
        return "request ran more than once: " + outcome.body;
      }
      if (outcome.answer && outcome.answer->kind == ResultKind::kNotRun && runs > 0) {
        return "reported as not run (" + outcome.answer->message + ") but ran: " + outcome.body;
      }
    }
    for (const Node& node : this->mesh.nodes) {
      const Gauges gauges = node.calls->GetGauges();
      if (gauges.open_calls + gauges.in_flight + gauges.queued != 0) {
        return "outstanding calls after the recovery phase";
      }
    }
    return {};
  }

  utils::Random random;
  Mesh mesh;
  utils::Duration service_time{};
  std::string drain_violation;
  // Boot numbers of processes that have a time limit.
  std::set<std::uint64_t> shutting_down;
  int requests = 0;
};
}  // namespace

TEST_GROUP(RandomFaults){};

// Guards against faults, alone or combined, that make a non-idempotent request run twice, a "not
// run" outcome wrong or an answer go to another call. AMARANTHLATCH_SEED selects a single seed,
// AMARANTHLATCH_RUNS the number of seeds.
TEST(RandomFaults, InvariantsHold) {
  std::uint64_t first = 1;
  std::uint64_t count = 200;
  if (const char* runs = std::getenv("AMARANTHLATCH_RUNS")) {
    count = std::strtoull(runs, nullptr, 10);
  }
  if (const char* seed = std::getenv("AMARANTHLATCH_SEED")) {
    first = std::strtoull(seed, nullptr, 10);
    count = 1;
  }
  std::size_t answered = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    FaultInjectionRun run(seed);
    const std::string violation = run.RunAndCheck();
    if (!violation.empty()) {
      FAIL(("seed " + std::to_string(seed) + ": " + violation).c_str());
    }
    answered += run.Answered();
  }
  // A mesh that refused every call would violate no invariant.
  CHECK_TRUE(answered > count * 500);
  std::printf("answered %zu in %llu runs\n", answered, static_cast<unsigned long long>(count));
}

}  // namespace amaranthlatch::calls::testing
