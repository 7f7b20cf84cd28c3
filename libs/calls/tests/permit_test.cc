// End-to-end tests of permits.

#include <CppUTest/TestHarness.h>

#include <string>

#include "mesh.h"
#include "permit_codec.h"

namespace amaranthlatch::calls::testing {

using utils::ErrorCode;
using utils::Milliseconds;
using utils::Seconds;

// Node 1 is the only gate; nodes 0 and 2 are entry nodes.
TEST_GROUP(Permits) {
  Options options;
  Mesh mesh{3, 1};

  void setup() override { this->ExcludeOtherGates(); }
  void ExcludeOtherGates() {
    this->mesh.Publish(0, membership::MemberState::kJoining);
    this->mesh.Publish(2, membership::MemberState::kJoining);
  }
  Answer CallAndWait(std::size_t node, const std::string& body, const std::string& permit,
                     const std::string& path = "/permit") {
    const std::uint64_t call = this->mesh.Call(node, path, body, permit);
    this->mesh.RunFor(Milliseconds(100));
    return this->mesh.AnswerOf(call);
  }
  void teardown() override { STRCMP_EQUAL("", this->mesh.FirstError().c_str()); }
};

// Guards against a resent request that runs again or gets a different answer.
TEST(Permits, ResendGetsTheSameAnswer) {
  const std::string permit = this->mesh.GetPermit(0);
  const Answer first = this->CallAndWait(0, "a", permit);
  const Answer second = this->CallAndWait(2, "a", permit);
  CHECK_TRUE(first.kind == ResultKind::kAnswered && first == second);
  CHECK_EQUAL(1, this->mesh.RunsOf("a"));
}

// Guards against a resent request that runs concurrently with its first copy, or that is cancelled
// when the caller of the first copy disconnects.
TEST(Permits, ResendWhileRunningWaits) {
  this->mesh.nodes[1].backend.service_time = Milliseconds(500);
  const std::string permit = this->mesh.GetPermit(0);
  const std::uint64_t first = this->mesh.Call(0, "/permit", "a", permit);
  this->mesh.RunFor(Milliseconds(50));
  const std::uint64_t second = this->mesh.Call(2, "/permit", "a", permit);
  this->mesh.RunFor(Milliseconds(20));
  this->mesh.Deliver(0, CallerGone{first});
  this->mesh.RunFor(Seconds(2));
  CHECK_TRUE(this->mesh.AnswerOf(second).kind == ResultKind::kAnswered);
  CHECK_EQUAL(1, this->mesh.RunsOf("a"));
}

// Guards against running two different requests with one permit.
TEST(Permits, AnotherRequestIsRefused) {
  const std::string permit = this->mesh.GetPermit(0);
  this->CallAndWait(0, "a", permit);
  const Answer other = this->CallAndWait(0, "b", permit);
  CHECK_TRUE(other.code == ErrorCode::kPermitRequestMismatch);
  CHECK_TRUE(other.kind == ResultKind::kNotRun);
  CHECK_EQUAL(0, this->mesh.RunsOf("b"));
}

// Guards against running a request with a permit that another process issued.
TEST(Permits, RestartedGateNeverRunsAnEarlierPermit) {
  const std::string permit = this->mesh.GetPermit(0);
  this->mesh.KillNode(1);
  this->mesh.StartNode(1);
  // First through an entry node with the old member record, then through one with the new record.
  const Answer early = this->CallAndWait(0, "a", permit);
  this->mesh.RunFor(Seconds(2));
  const Answer late = this->CallAndWait(2, "a", permit);
  CHECK_TRUE(early.kind == ResultKind::kUnknown && late.kind == ResultKind::kUnknown);
  CHECK_TRUE(late.code == ErrorCode::kPermitHolderGone);
  CHECK_EQUAL(0, this->mesh.RunsOf("a"));
}

// Guards against running a request with a permit of an earlier incarnation. The process is the
// same, so the gate knows that the request has not run.
TEST(Permits, EarlierIncarnationNeverRuns) {
  const std::string permit = this->mesh.GetPermit(0);
  ++this->mesh.nodes[1].incarnation;
  this->mesh.Publish(1, membership::MemberState::kReady);
  const Answer answer = this->CallAndWait(0, "a", permit);
  CHECK_TRUE(answer.kind == ResultKind::kNotRun && answer.code == ErrorCode::kPermitInvalid);
  CHECK_EQUAL(0, this->mesh.RunsOf("a"));
}

// Guards against running a request with an expired permit or reporting the wrong outcome for it.
TEST(Permits, ExpiredPermitNeverRuns) {
  const std::string unused = this->mesh.GetPermit(0);
  const std::string used = this->mesh.GetPermit(0);
  this->CallAndWait(0, "a", used);
  this->mesh.RunFor(Seconds(601));
  const Answer known = this->CallAndWait(0, "b", unused);
  CHECK_TRUE(known.kind == ResultKind::kNotRun && known.code == ErrorCode::kPermitExpired);
  CHECK_TRUE(this->CallAndWait(0, "a", used).code == ErrorCode::kAnswerDropped);
  this->mesh.RunFor(Seconds(601));
  const Answer forgotten = this->CallAndWait(0, "b", unused);
  CHECK_TRUE(forgotten.kind == ResultKind::kUnknown);
  CHECK_EQUAL(0, this->mesh.RunsOf("b"));
}

// Guards against retaining an answer for too long or not long enough.
TEST(Permits, AnswerIsKeptForItsTime) {
  const std::string permit = this->mesh.GetPermit(0);
  this->CallAndWait(0, "a", permit);
  this->mesh.RunFor(Seconds(115));
  CHECK_TRUE(this->CallAndWait(0, "a", permit).kind == ResultKind::kAnswered);
  this->mesh.RunFor(Seconds(10));
  const Answer dropped = this->CallAndWait(0, "a", permit);
  CHECK_TRUE(dropped.kind == ResultKind::kUnknown && dropped.code == ErrorCode::kAnswerDropped);
}

// Guards against a copy that runs after another one was reported as not run.
TEST(Permits, RefusedPermitNeverRuns) {
  const std::string permit = this->mesh.GetPermit(0);
  this->mesh.Deliver(1, AdmissionChanged{false});
  CHECK_TRUE(this->CallAndWait(0, "a", permit).code == ErrorCode::kNodeNotReady);
  this->mesh.Deliver(1, AdmissionChanged{true});
  const Answer again = this->CallAndWait(2, "a", permit);
  CHECK_TRUE(again.kind == ResultKind::kNotRun && again.code == ErrorCode::kPermitInvalid);
  CHECK_EQUAL(0, this->mesh.RunsOf("a"));
}

// Guards against a resent request that is refused as not run, or sent to another gate, because the
// routes changed after the first copy ran.
TEST(Permits, RouteChangeDoesNotMoveAUsedPermit) {
  const std::string permit = this->mesh.GetPermit(0);
  this->CallAndWait(0, "a", permit);
  document::ServiceDocument document = FleetDocument();
  FindRoute(document, "permit")->path_prefix = "/elsewhere";
  this->mesh.routes.Set(document);
  this->mesh.Publish(0, membership::MemberState::kReady);
  CHECK_TRUE(this->CallAndWait(2, "a", permit).kind == ResultKind::kAnswered);
  CHECK_EQUAL(1, this->mesh.RunsOf("a"));
}

// Guards against an entry node that reports "not run" although other nodes may have sent copies of
// the request.
TEST(Permits, EntryNeverReportsNotRunForAPermit) {
  const std::string permit = this->mesh.GetPermit(0);
  this->CallAndWait(0, "a", permit);
  this->mesh.Deliver(2, AdmissionChanged{false});
  CHECK_TRUE(this->CallAndWait(2, "a", permit).kind == ResultKind::kUnknown);
  this->mesh.KillNode(1);
  const std::uint64_t call = this->mesh.Call(0, "/permit", "a", permit);
  this->mesh.RunFor(Seconds(4));
  CHECK_TRUE(this->mesh.AnswerOf(call).kind == ResultKind::kUnknown);
}

// Guards against losing an answer that the gate still retains.
TEST(Permits, LostReplyIsFetchedAgain) {
  const std::string permit = this->mesh.GetPermit(0);
  int lost = 0;
  this->mesh.filter = [&lost](std::size_t, std::size_t, const Message& message) {
    return !std::holds_alternative<CallReply>(message) || lost++ > 0;
  };
  const std::uint64_t call = this->mesh.Call(0, "/permit", "a", permit);
  this->mesh.RunFor(Seconds(2));
  CHECK_TRUE(this->mesh.AnswerOf(call).kind == ResultKind::kAnswered);
  CHECK_EQUAL(1, this->mesh.RunsOf("a"));
}

// Guards against accepting forged or modified permit tokens.
TEST(Permits, ChangedTokenIsRefused) {
  const std::string permit = this->mesh.GetPermit(0);
  const details::PermitCodec codec(this->options.permit_key);
  const auto decoded = codec.Decode(permit);
  CHECK_TRUE(decoded && decoded->gate == this->mesh.NodeName(1));
  for (std::size_t i = 0; i < permit.size(); ++i) {
    std::string changed = permit;
    changed[i] = changed[i] == 'A' ? 'B' : 'A';
    CHECK_FALSE(codec.Decode(changed).has_value());
  }
  PermitKey other{};
  other[0] = 1;
  CHECK_FALSE(details::PermitCodec(other).Decode(permit).has_value());
  const Answer answer = this->CallAndWait(0, "a", "x" + permit);
  CHECK_TRUE(answer.kind == ResultKind::kNotRun && answer.code == ErrorCode::kPermitInvalid);
}

// Guards against permit requests that never complete when no gate replies or no route matches.
TEST(Permits, PermitRequestFailsWithoutAGate) {
  this->mesh.filter = [](std::size_t, std::size_t, const Message&) { return false; };
  std::optional<AnswerPermit> answer;
  this->mesh.AskPermit(0, [&answer](const AnswerPermit& permit_answer) { answer = permit_answer; });
  this->mesh.RunFor(Seconds(2));
  CHECK_TRUE(answer && answer->code == ErrorCode::kGateUnreachable);
  this->mesh.AskPermit(
      0, [&answer](const AnswerPermit& permit_answer) { answer = permit_answer; }, "/none");
  CHECK_TRUE(answer->code == ErrorCode::kNoRoute);
}

}  // namespace amaranthlatch::calls::testing
