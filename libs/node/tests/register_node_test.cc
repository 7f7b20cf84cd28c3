// Tests of a node in register mode. The test acts as the register, transport and backend server.

#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "register_node_fixture.h"

namespace amaranthlatch::node {

using calls::ResultKind;
using directory::Stream;
using utils::ErrorCode;
using utils::Milliseconds;
using utils::Seconds;

namespace {

// With `keys`, the configuration has the workspace "w1" with these keys.
directory::MeshConfiguration::Pointer MakeConfiguration(
    document::Version version, const std::optional<std::vector<std::string>>& keys = {},
    utils::Duration deadline = Seconds(2)) {
  directory::HostRoute entry;
  entry.host = "fleet.example";
  entry.route.name = "write";
  entry.route.path_prefix = "/";
  entry.route.split = {{"fleet", "", 1}};
  entry.route.strict_split = true;
  entry.route.max_attempts = 2;
  entry.route.deadline = deadline;
  entry.route.max_request_bytes = 1000;
  entry.route.max_response_bytes = 1000;
  directory::ServiceDefaults defaults;
  defaults.protection.slots = 10;
  defaults.protection.queue_length = 10;
  defaults.protection.queue_time = Seconds(1);
  directory::WorkspaceTable::Pointer workspaces;
  if (keys) {
    workspaces = *directory::WorkspaceTable::Create(
        directory::ShareWorkspaces({{"w1", *keys, document::Priority::kInternal}}));
  }
  return *directory::MeshConfiguration::Create(version, directory::ShareRoutes({entry}),
                                               {{"fleet", "/", 1}}, defaults, workspaces);
}

}  // namespace

TEST_GROUP_BASE(RegisterNode, RegisterNodeFixture){
    void setup() override{this->node = *RegisterNode::Create(MakeRegisterNodeOptions());
}  // namespace amaranthlatch::node
void Configure(document::Version version,
               const std::optional<std::vector<std::string>>& keys = {}) {
  this->HandleEvent(WakeUp{});
  this->HandleEvent(directory::StreamReadSucceeded{Stream::kMembers, 0, nullptr, {}, {}});
  this->HandleEvent(directory::StreamReadSucceeded{
      Stream::kConfiguration, version, MakeConfiguration(version, keys), {}, {}});
}
void SendCallWithKey(const std::string& key) {
  calls::CallReceived call;
  call.call = ++this->last_call;
  call.request = {"POST", "/x", "fleet.example", {}, "body"};
  call.credentials = {{"credential", key}};
  call.key = key;
  this->HandleEvent(call);
}
// The request sent last, as a gate gets it.
calls::CallRequest LastRequest() {
  const SendMessage sent = this->TakeEffects<SendMessage>().back();
  return std::get<calls::CallRequest>(std::get<calls::Message>(sent.message));
}
void SendCall() {
  calls::HttpRequest request{"POST", "/x", "fleet.example", {}, "body"};
  this->HandleEvent(calls::CallReceived{++this->last_call, request, Seconds(1), {}});
}
}
;

// Guards against a node that keeps an old configuration although calls carry a newer version.
TEST(RegisterNode, CallWithNewerVersionReplacesLostRead) {
  Configure(3);
  TakeEffects<directory::ReadStream>();
  calls::CallRequest request;
  request.version = 4;
  HandleEvent(MessageReceived{"10.0.0.2:1", calls::Message(request)});
  AdvanceTime(Seconds(1));
  const auto reads = TakeEffects<directory::ReadStream>();
  LONGS_EQUAL(2, reads.size());
  CHECK_TRUE(reads[0].stream == Stream::kConfiguration && !reads[0].from);
  // The response of the other waiting read may be lost as well.
  CHECK_TRUE(reads[1].stream == Stream::kMembers && reads[1].from == directory::Position{0});
}

// Guards against a "no such route" answer from a node that has no configuration yet.
TEST(RegisterNode, RefusesAsNotReadyBeforeTheFirstConfiguration) {
  this->HandleEvent(WakeUp{});
  CHECK_FALSE(this->node->Ready());
  this->SendCall();
  const auto answer = this->Answer();
  CHECK_TRUE(answer && answer->kind == ResultKind::kNotRun);
  CHECK_TRUE(answer->code == ErrorCode::kNodeNotReady);
  this->Configure(3);
  CHECK_TRUE(this->node->Ready());
}

// Guards against a refusal of a key by a node that cannot judge it, against credentials that reach
// a backend server, and against a deployment without workspaces whose requests change.
TEST(RegisterNode, KeysAreJudgedByTheConfigurationInForce) {
  this->HandleEvent(WakeUp{});
  this->SendCallWithKey("k1");
  CHECK_TRUE(this->Answer()->code == ErrorCode::kNodeNotReady);
  this->Configure(3);
  this->AddPeer();
  this->SendCallWithKey("k1");
  calls::CallRequest request = this->LastRequest();
  CHECK_TRUE(request.request.headers == calls::Headers({{"credential", "k1"}}));
  CHECK_TRUE(request.workspace.empty() && request.priority == document::Priority::kNormal);
  this->Configure(4, {{"k1"}});
  this->SendCallWithKey("k1");
  request = this->LastRequest();
  CHECK_TRUE(request.request.headers.empty() && request.workspace == "w1");
  CHECK_TRUE(request.priority == document::Priority::kInteractive);
  this->SendCallWithKey("k2");
  const auto refused = this->Answer();
  CHECK_TRUE(refused->kind == ResultKind::kNotRun && refused->code == ErrorCode::kKeyUnknown);
  CHECK_TRUE(this->node->AuthorizationCounters() == AuthorizationCounters({0, 1, 1}));
}

// Guards against a further attempt with a key that was withdrawn after the first one, and against a
// "not run" answer for a call whose first attempt may have run.
TEST(RegisterNode, WithdrawnKeyEndsTheCallBeforeItsNextAttempt) {
  this->Configure(3, {{"k1"}});
  this->AddPeer();
  for (const bool may_have_run : {false, true}) {
    this->SendCallWithKey("k1");
    const calls::CallRequest request = this->LastRequest();
    this->Configure(may_have_run ? 6 : 4, std::vector<std::string>{});
    if (may_have_run) {
      calls::CallReply reply;
      reply.id = request.id;
      reply.answer.code = ErrorCode::kBackendFailed;
      this->HandleEvent(MessageReceived{"10.0.0.2:1", calls::Message(reply)});
    } else {
      this->HandleEvent(MessageNotSent{"10.0.0.2:1", calls::Message(request)});
    }
    this->AdvanceTime(Seconds(1));
    CHECK_EQUAL(0, this->TakeEffects<SendMessage>().size());
    const auto answer = this->Answer();
    CHECK_TRUE(answer->kind == (may_have_run ? ResultKind::kUnknown : ResultKind::kNotRun));
    CHECK_TRUE(may_have_run || answer->code == ErrorCode::kKeyUnknown);
    this->Configure(5, {{"k1"}});
  }
}

// Guards against dispatching calls to a backend server that announced its departure, and against
// answering discarded queued calls with anything but a not-run result.
TEST(RegisterNode, DepartedBackendServerGetsNoMoreCalls) {
  this->Configure(3);
  this->HandleEvent(directory::BackendServerReady{"fleet", {}, 1});
  this->SendCall();
  this->SendCall();
  CHECK_EQUAL(1, this->TakeEffects<calls::RunOnBackendServer>().size());
  this->HandleEvent(directory::BackendServerUnavailable{});
  this->AdvanceTime(Milliseconds(500));
  const auto queued = this->Answer();
  CHECK_TRUE(queued && queued->kind == ResultKind::kNotRun);
  // The running call is still answered.
  this->HandleEvent(calls::BackendServerAnswered{1, {200, {}, "ok"}});
  CHECK_TRUE(this->Answer()->kind == ResultKind::kAnswered);
  this->SendCall();
  this->AdvanceTime(Milliseconds(500));
  CHECK_TRUE(this->Answer()->kind == ResultKind::kNotRun);
  CHECK_EQUAL(0, this->TakeEffects<calls::RunOnBackendServer>().size());
}

// Guards against a drain that refuses callers before they can detect it, or that never ends.
TEST(RegisterNode, DrainServesCallersDuringGracePeriod) {
  this->Configure(3);
  this->AddPeer();
  this->HandleEvent(DrainRequested{});
  CHECK_FALSE(this->node->Ready());
  this->AdvanceTime(Seconds(2));
  this->SendCall();
  CHECK_EQUAL(1, this->TakeEffects<SendMessage>().size());
  this->AdvanceTime(Milliseconds(700));
  CHECK_EQUAL(1, this->TakeEffects<CallerIntakeClosed>().size());
  CHECK_EQUAL(0, this->TakeEffects<calls::DrainFinished>().size());
  this->SendCall();
  CHECK_TRUE(this->Answer()->code == ErrorCode::kDraining);
  this->AdvanceTime(Seconds(5));
  CHECK_EQUAL(1, this->TakeEffects<calls::DrainFinished>().size());
}

// Guards against a process that ends while a caller waits for a call in the queue of a peer: its
// connection was closed without an answer, and the call ran later (review case 12).
TEST(RegisterNode, CallsAtPeersAreAnsweredBeforeTheProcessEnds) {
  this->Configure(3);
  this->AddPeer();
  this->HandleEvent(directory::StreamReadSucceeded{
      Stream::kConfiguration, 4, MakeConfiguration(4, {}, Seconds(25)), {}, {}});
  const calls::HttpRequest content{"POST", "/x", "fleet.example", {}, "body"};
  this->HandleEvent(calls::CallReceived{++this->last_call, content, Seconds(25), {}});
  const calls::CallRequest waiting = this->LastRequest();
  this->HandleEvent(calls::CallReceived{++this->last_call, content, Seconds(25), {}});
  const std::uint64_t silent = this->last_call;
  this->HandleEvent(DrainRequested{});
  this->AdvanceTime(Seconds(3));
  CHECK_FALSE(this->Answer().has_value());
  // The peer drops the first call from its queue, twice, and does not answer for the other one.
  const auto drop = [this](const calls::AttemptId& id) {
    this->HandleEvent(
        MessageReceived{kPeer, calls::Message(calls::CallCancelReply{id, false, false})});
  };
  drop(waiting.id);
  this->AdvanceTime(Milliseconds(300));
  drop({waiting.id.entry, waiting.id.entry_boot_id, waiting.id.call, 2});
  const auto refused = this->Answer();
  CHECK_TRUE(refused && refused->kind == ResultKind::kNotRun);
  this->AdvanceTime(Milliseconds(2'350));
  const auto answers = this->TakeEffects<calls::AnswerCaller>();
  LONGS_EQUAL(1, answers.size());
  CHECK_TRUE(answers[0].call == silent && answers[0].answer.kind == ResultKind::kUnknown);
}

// Guards against a drain that leaves the member record "ready" in the register.
TEST(RegisterNode, DrainIsWrittenToRegister) {
  this->Configure(3);
  this->HandleEvent(directory::BackendServerReady{"fleet", {}, 1});
  CHECK_TRUE(this->TakeEffects<directory::WriteMember>().back().member.state ==
             membership::MemberState::kReady);
  this->HandleEvent(directory::MemberWriteCompleted{true});
  this->HandleEvent(DrainRequested{});
  CHECK_TRUE(this->TakeEffects<directory::WriteMember>().back().member.state ==
             membership::MemberState::kDraining);
}

}  // namespace amaranthlatch::node
