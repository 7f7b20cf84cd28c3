// Tests of the connection of rollouts and quotas to the calls of a node in register mode.

#include <CppUTest/TestHarness.h>

#include <string>

#include "register_node_fixture.h"

namespace amaranthlatch::node {

using calls::ResultKind;
using directory::Stream;
using utils::ErrorCode;
using utils::Milliseconds;
using utils::Seconds;

namespace {

RegisterNodeOptions MakeOptions(bool has_rollouts, bool has_quotas) {
  RegisterNodeOptions options = MakeRegisterNodeOptions();
  if (has_rollouts) {
    options.rollout.emplace();
    options.rollout->id = options.directory.id;
    options.rollout->boot_id = 7;
  }
  if (has_quotas) {
    options.quota.emplace();
    options.quota->id = options.directory.id;
    options.quota->zone = "z2";
    options.quota->boot_id = 7;
  }
  return options;
}

directory::MeshConfiguration::Pointer MakeConfiguration(
    document::Version version, std::vector<directory::Workspace> workspaces) {
  directory::HostRoute entry;
  entry.host = "fleet.example";
  entry.route.name = "write";
  entry.route.path_prefix = "/";
  entry.route.split = {{"fleet", "", 1}};
  entry.route.max_attempts = 3;
  entry.route.idempotent = true;
  entry.route.deadline = Seconds(2);
  entry.route.max_request_bytes = 1000;
  entry.route.max_response_bytes = 1000;
  directory::ServiceDefaults defaults;
  defaults.protection.slots = 10;
  defaults.protection.queue_length = 10;
  defaults.protection.queue_time = Seconds(1);
  defaults.protection.retry_budget_percent = 100;
  directory::WorkspaceTable::Pointer table;
  if (!workspaces.empty()) {
    table = *directory::WorkspaceTable::Create(directory::ShareWorkspaces(std::move(workspaces)));
  }
  return *directory::MeshConfiguration::Create(version, directory::ShareRoutes({entry}),
                                               {{"fleet", "/", 1}}, defaults, table);
}

}  // namespace

TEST_GROUP_BASE(RegisterTraffic, RegisterNodeFixture) {
  std::uint64_t last_directive = 0;

  void Start(bool has_rollouts, bool has_quotas) {
    this->node = *RegisterNode::Create(MakeOptions(has_rollouts, has_quotas));
    this->HandleEvent(WakeUp{});
    this->HandleEvent(directory::StreamReadSucceeded{Stream::kMembers, 0, nullptr, {}, {}});
  }
  void Configure(document::Version version, std::vector<directory::Workspace> workspaces,
                 std::vector<directory::RolloutOrder> orders = {}) {
    this->HandleEvent(
        directory::StreamReadSucceeded{Stream::kConfiguration,
                                       version,
                                       MakeConfiguration(version, std::move(workspaces)),
                                       {},
                                       std::move(orders)});
  }
  // A server of the version that an order moves the service to, which may run `allowance` calls.
  void BecomeCanary(std::uint64_t allowance, std::uint32_t slots = 8) {
    this->Start(true, false);
    this->AddPeer();
    this->Configure(3, {}, {{"fleet", "2", Seconds(30), 5}});
    this->AnnounceCanary(slots);
    this->AdvanceTime(Milliseconds(300));
    this->Direct(allowance);
  }
  void AnnounceCanary(std::uint32_t slots) {
    this->HandleEvent(
        directory::BackendServerReady{"fleet", {{membership::kVersionLabel, "2"}}, slots});
  }
  void Direct(std::uint64_t allowance) {
    rollout::Directive directive;
    directive.service = "fleet";
    directive.order = 5;
    directive.boot_id = 7;
    directive.server = 1;
    directive.term = 1;
    directive.sequence = ++this->last_directive;
    directive.phase = rollout::Phase::kCanary;
    directive.announce = true;
    directive.allowance = allowance;
    directive.sent_at = this->now.time_since_epoch();
    directive.lease = Milliseconds(1500);
    this->HandleEvent(MessageReceived{kPeer, rollout::Message(directive)});
  }
  void SendToGate() {
    calls::CallRequest request;
    request.id = {kPeer, 9, ++this->last_call, 1};
    request.gate_incarnation = this->node->Members().Self().incarnation;
    request.gate_boot_id = 7;
    request.service = "fleet";
    request.route = "write";
    request.version = 3;
    request.request = {"POST", "/x", "fleet.example", {}, {}};
    request.remaining = Seconds(2);
    request.max_response_bytes = 1000;
    this->HandleEvent(MessageReceived{kPeer, calls::Message(request)});
  }
  // A node without credit, with a peer that runs the calls and is the holder of its credit.
  void StartWithQuotas() {
    this->Start(false, true);
    this->AddPeer();
    this->Configure(3, {{"w1", {"k1"}, {}, 10.0, 10.0}, {"w2", {"k2"}, {}, 10.0, 10.0}});
  }
  // Advances in steps in which the holder answers without credit, so that calls wait for it.
  void AdvanceWithoutCredit(utils::Duration time) {
    const utils::Timestamp end = this->now + time;
    while (this->now < end) {
      for (const auto& request : this->TakeSent<quota::Message, quota::CreditRequest>()) {
        const quota::CreditGrant grant{request.sent, 0, {9, this->now}, 2, {}};
        this->HandleEvent(MessageReceived{kPeer, quota::Message(grant)});
      }
      this->AdvanceTime(std::min<utils::Duration>(Milliseconds(10), end - this->now));
    }
  }
  std::size_t SentCalls() { return this->TakeSent<calls::Message, calls::CallRequest>().size(); }
  std::size_t Runs() { return this->TakeEffects<calls::RunOnBackendServer>().size(); }
  void SendCall(const std::string& key, std::optional<utils::Duration> remaining = {}) {
    calls::CallReceived call;
    call.call = ++this->last_call;
    call.request = {"POST", "/x", "fleet.example", {}, {}};
    call.key = key;
    call.remaining = remaining;
    this->HandleEvent(call);
  }
};

// Guards against a run that is started after a pause of the process, because the call arrives
// before the wake-up that ends the lease is handled.
TEST(RegisterTraffic, NoRunStartsAfterTheLeaseEndedInAPause) {
  this->BecomeCanary(10);
  this->SendToGate();
  LONGS_EQUAL(1, this->Runs());
  this->now += Seconds(4);
  this->SendToGate();
  LONGS_EQUAL(0, this->Runs());
}

// Guards against more runs than the allowance when one event starts several, such as queued calls
// for which a server announces more slots.
TEST(RegisterTraffic, OneEventStartsNoMoreRunsThanAllowed) {
  this->BecomeCanary(3, 1);
  for (int i = 0; i < 5; ++i) {
    this->SendToGate();
  }
  LONGS_EQUAL(1, this->Runs());
  this->AnnounceCanary(8);
  LONGS_EQUAL(2, this->Runs());
}

// Guards against a call that waits for credit of one workspace and is then run as a call of another
// one, whose quota it does not count against.
TEST(RegisterTraffic, CallOfAMovedKeyWaitsForCreditOfItsNewWorkspace) {
  this->StartWithQuotas();
  this->SendCall("k1");
  this->AdvanceTime(Milliseconds(5));
  CHECK_FALSE(this->Answer().has_value());
  this->Configure(4, {{"w1", {}, {}, 0.0, 0.0}, {"w2", {"k1", "k2"}, {}, 10.0, 10.0}});
  LONGS_EQUAL(0, this->SentCalls());
  this->AdvanceTime(Milliseconds(200));
  CHECK_TRUE(this->Answer()->code == ErrorCode::kQuotaExceeded);
}

// Guards against a key that counts after the version that withdraws it, because the call arrived
// within the same tick of the clock.
TEST(RegisterTraffic, CallThatWaitsIsJudgedByTheVersionInForce) {
  this->StartWithQuotas();
  this->SendCall("k1");
  this->Configure(4, {{"w1", {}, {}, 0.0, 0.0}});
  LONGS_EQUAL(0, this->SentCalls());
  CHECK_TRUE(this->Answer()->code == ErrorCode::kKeyUnknown);
}

// Guards against a call that waits for credit beyond its deadline, or is refused as over the quota.
TEST(RegisterTraffic, CallThatWaitsIsRefusedAtItsDeadline) {
  this->StartWithQuotas();
  this->SendCall("k1", Milliseconds(30));
  this->AdvanceTime(Milliseconds(29));
  CHECK_FALSE(this->Answer().has_value());
  this->AdvanceTime(Milliseconds(1));
  const auto answer = this->Answer();
  CHECK_TRUE(answer && answer->code == ErrorCode::kDeadlineExceeded);
  CHECK_TRUE(answer->kind == ResultKind::kNotRun);
  LONGS_EQUAL(0, this->node->QuotaGauges().calls_waiting);
}

// Guards against a drain that is finished, so that the process exits, while a call waits for
// credit.
TEST(RegisterTraffic, DrainRefusesCallsThatWait) {
  this->StartWithQuotas();
  this->HandleEvent(DrainRequested{});
  this->AdvanceWithoutCredit(Milliseconds(2590));
  this->SendCall("k1");
  CHECK_FALSE(this->Answer().has_value());
  this->AdvanceTime(Milliseconds(20));
  LONGS_EQUAL(1, this->TakeEffects<calls::DrainFinished>().size());
  const auto answer = this->Answer();
  CHECK_TRUE(answer && answer->code == ErrorCode::kDraining);
  CHECK_TRUE(answer->kind == ResultKind::kNotRun);
  this->SendCall("k1");
  CHECK_TRUE(this->Answer()->code == ErrorCode::kDraining);
}

// Guards against old servers that are retired because of slots of a node that drains: its gate
// refuses every call from the start of the drain.
TEST(RegisterTraffic, DrainingNodeReportsNoAcceptingServer) {
  this->BecomeCanary(10);
  const auto accepts = [this] {
    this->TakeEffects<SendMessage>();
    this->AdvanceTime(Milliseconds(600));
    return this->TakeSent<rollout::Message, rollout::Report>().back().accepting;
  };
  CHECK_TRUE(accepts());
  this->HandleEvent(DrainRequested{});
  this->AnnounceCanary(8);
  CHECK_FALSE(accepts());
}

// Guards against calls that wait although the calls before them returned their credit: each of them
// is refused as soon as it is known that no gate can run it.
TEST(RegisterTraffic, ReturnedCreditServesAllCallsThatWait) {
  this->Start(false, true);
  this->AddPeer();
  membership::Member gone = *this->node->Members().Find(kPeer);
  this->Configure(3, {{"w1", {"k1"}, {}, 10.0, 10.0}});
  gone.state = membership::MemberState::kDraining;
  this->HandleEvent(directory::StreamReadSucceeded{Stream::kMembers, 2, nullptr, {gone}, {}});
  for (int i = 0; i < 3; ++i) {
    this->SendCall("k1");
  }
  this->AdvanceTime(Milliseconds(2));
  const auto request = this->TakeSent<quota::Message, quota::CreditRequest>().back();
  const quota::CreditGrant grant{request.sent, 0, {9, this->now}, 2, {{"w1", 1, 0, 0}}};
  this->HandleEvent(MessageReceived{kPeer, quota::Message(grant)});
  LONGS_EQUAL(3, this->TakeEffects<calls::AnswerCaller>().size());
}

}  // namespace amaranthlatch::node
