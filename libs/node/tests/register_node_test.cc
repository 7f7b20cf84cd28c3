// Tests of a node in register mode; the test plays register, transport and backend server.

#include "amaranthlatch/node/register_node.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace amaranthlatch::node {

using calls::ResultKind;
using directory::Stream;
using utils::ErrorCode;
using utils::Milliseconds;
using utils::Seconds;

namespace {

directory::MeshConfiguration::Pointer MakeConfiguration(document::Version version) {
  directory::HostRoute entry;
  entry.host = "fleet.example";
  entry.route.name = "write";
  entry.route.path_prefix = "/";
  entry.route.split = {{"fleet", "", 1}};
  entry.route.strict_split = true;
  entry.route.max_attempts = 2;
  entry.route.deadline = Seconds(2);
  entry.route.max_request_bytes = 1000;
  entry.route.max_response_bytes = 1000;
  directory::ServiceDefaults defaults;
  defaults.protection.slots = 10;
  defaults.protection.queue_length = 10;
  defaults.protection.queue_time = Seconds(1);
  return *directory::MeshConfiguration::Create(version, {entry}, {{"fleet", "/", 1}}, defaults);
}

RegisterNodeOptions MakeOptions() {
  RegisterNodeOptions options;
  options.secret = "0123456789abcdef";
  options.directory.id = "10.0.0.1:1";
  options.directory.region = "north";
  options.directory.zone = "ondangwa";
  options.directory.boot_id = 7;
  options.calls.gate.adaptive_limit = false;
  return options;
}

}  // namespace

TEST_GROUP(RegisterNode) {
  std::unique_ptr<RegisterNode> node = *RegisterNode::Create(MakeOptions());
  utils::Timestamp now{Seconds(50)};
  std::vector<RegisterEffect> effects;
  std::uint64_t last_call = 0;

  void Give(const RegisterEvent& event) {
    for (RegisterEffect& effect : this->node->Reduce(event, this->now)) {
      CHECK_FALSE(std::holds_alternative<InvariantViolated>(effect));
      this->effects.push_back(std::move(effect));
    }
  }
  void Pass(utils::Duration time) {
    const utils::Timestamp end = this->now + time;
    while (this->node->NextWake() && *this->node->NextWake() <= end) {
      this->now = std::max(this->now, *this->node->NextWake());
      this->Give(WakeUp{});
    }
    this->now = end;
  }
  template <typename T>
  std::vector<T> TakeAll() {
    std::vector<T> found;
    std::erase_if(this->effects, [&found](const RegisterEffect& effect) {
      if (const T* value = std::get_if<T>(&effect)) {
        found.push_back(*value);
        return true;
      }
      return false;
    });
    return found;
  }
  void Configure(document::Version version) {
    this->Give(WakeUp{});
    this->Give(directory::StreamRead{Stream::kMembers, 0, nullptr, {}});
    this->Give(directory::StreamRead{Stream::kConfiguration, 1, MakeConfiguration(version), {}});
  }
  void Call() {
    calls::HttpRequest request{"POST", "/x", "fleet.example", {}, "body"};
    this->Give(calls::CallReceived{++this->last_call, request, Seconds(1), {}});
  }
  std::optional<calls::Answer> Answer() {
    const auto answers = this->TakeAll<calls::AnswerCaller>();
    return answers.empty() ? std::nullopt : std::optional(answers.back().answer);
  }
};

// Guards against a node that stays behind although calls show it that others are ahead.
TEST(RegisterNode, CallsOfANewerConfigurationReplaceALostRead) {
  Configure(3);
  TakeAll<directory::ReadStream>();
  calls::CallRequest request;
  request.version = 4;
  Give(MessageReceived{"10.0.0.2:1", calls::Message(request)});
  Pass(Seconds(1));
  const auto reads = TakeAll<directory::ReadStream>();
  LONGS_EQUAL(1, reads.size());
  CHECK_TRUE(reads[0].stream == Stream::kConfiguration && !reads[0].from);
}

// Guards against "no such route" from a node that knows no configuration yet.
TEST(RegisterNode, RefusesAsNotReadyBeforeTheFirstConfiguration) {
  this->Give(WakeUp{});
  CHECK_FALSE(this->node->Ready());
  this->Call();
  const auto answer = this->Answer();
  CHECK_TRUE(answer && answer->kind == ResultKind::kNotRun);
  CHECK_TRUE(answer->code == ErrorCode::kNodeNotReady);
  this->Configure(3);
  CHECK_TRUE(this->node->Ready());
}

// Guards against work that is handed to a backend server which has said that it leaves, and against
// queued work that is dropped with anything but a truthful refusal.
TEST(RegisterNode, LeavingBackendServerGetsNothingMore) {
  this->Configure(3);
  this->Give(directory::BackendServerReady{"fleet", {}, 1});
  this->Call();
  this->Call();
  CHECK_EQUAL(1, this->TakeAll<calls::RunOnBackendServer>().size());
  this->Give(directory::BackendServerGone{});
  this->Pass(Milliseconds(500));
  const auto queued = this->Answer();
  CHECK_TRUE(queued && queued->kind == ResultKind::kNotRun);
  // The one that runs is answered.
  this->Give(calls::BackendServerAnswered{1, {200, {}, "ok"}});
  CHECK_TRUE(this->Answer()->kind == ResultKind::kAnswered);
  this->Call();
  this->Pass(Milliseconds(500));
  CHECK_TRUE(this->Answer()->kind == ResultKind::kNotRun);
  CHECK_EQUAL(0, this->TakeAll<calls::RunOnBackendServer>().size());
}

// Guards against a drain that refuses callers who could not know of it, or that never ends.
TEST(RegisterNode, DrainServesCallersUntilTheyHaveLeft) {
  this->Configure(3);
  membership::Member peer;
  peer.id = "10.0.0.2:1";
  peer.region = "north";
  peer.zone = "ondangwa";
  peer.service = "fleet";
  peer.slots = 4;
  peer.incarnation = 1;
  peer.boot_id = 9;
  peer.state = membership::MemberState::kReady;
  this->Give(directory::StreamRead{Stream::kMembers, 1, nullptr, {peer}});
  this->Give(DrainRequested{});
  CHECK_FALSE(this->node->Ready());
  this->Pass(Seconds(2));
  this->Call();
  CHECK_EQUAL(1, this->TakeAll<SendMessage>().size());
  this->Pass(Milliseconds(700));
  CHECK_EQUAL(1, this->TakeAll<EntryClosed>().size());
  CHECK_EQUAL(0, this->TakeAll<calls::DrainFinished>().size());
  this->Call();
  CHECK_TRUE(this->Answer()->code == ErrorCode::kDraining);
  this->Pass(Seconds(5));
  CHECK_EQUAL(1, this->TakeAll<calls::DrainFinished>().size());
}

// Guards against a drain whose record stays "ready" in the register.
TEST(RegisterNode, DrainIsWritten) {
  this->Configure(3);
  this->Give(directory::BackendServerReady{"fleet", {}, 1});
  CHECK_TRUE(this->TakeAll<directory::WriteMember>().back().member.state ==
             membership::MemberState::kReady);
  this->Give(directory::MemberWriteEnded{true});
  this->Give(DrainRequested{});
  CHECK_TRUE(this->TakeAll<directory::WriteMember>().back().member.state ==
             membership::MemberState::kDraining);
}

}  // namespace amaranthlatch::node
