// Tests of permits, end to end.

#include <CppUTest/TestHarness.h>

#include <string>

#include "mesh.h"
#include "permit_codec.h"

namespace amaranthlatch::calls::testing {

using utils::ErrorCode;
using utils::Milliseconds;
using utils::Seconds;

// Node 1 is the only gate; nodes 0 and 2 are entries.
TEST_GROUP(Permits) {
  Options options;
  Mesh mesh{3, 1};

  void setup() override { this->Isolate(); }
  void Isolate() {
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

// Guards against a resend that runs again or gets another answer.
TEST(Permits, ResendGetsTheSameAnswer) {
  const std::string permit = this->mesh.GetPermit(0);
  const Answer first = this->CallAndWait(0, "a", permit);
  const Answer second = this->CallAndWait(2, "a", permit);
  CHECK_TRUE(first.kind == ResultKind::kAnswered && first == second);
  CHECK_EQUAL(1, this->mesh.RunsOf("a"));
}

// Guards against a resend that runs beside its first copy, or that ends with the first's caller.
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

// Guards against one permit that serves two requests.
TEST(Permits, AnotherRequestIsRefused) {
  const std::string permit = this->mesh.GetPermit(0);
  this->CallAndWait(0, "a", permit);
  const Answer other = this->CallAndWait(0, "b", permit);
  CHECK_TRUE(other.code == ErrorCode::kPermitRequestMismatch);
  CHECK_TRUE(other.kind == ResultKind::kNotRun);
  CHECK_EQUAL(0, this->mesh.RunsOf("b"));
}

// Guards against a permit that runs at a process other than the one that gave it.
TEST(Permits, RestartedGateNeverRunsIt) {
  const std::string permit = this->mesh.GetPermit(0);
  this->mesh.KillNode(1);
  this->mesh.StartNode(1);
  // An entry with the old record, then one with the new.
  const Answer early = this->CallAndWait(0, "a", permit);
  this->mesh.RunFor(Seconds(2));
  const Answer late = this->CallAndWait(2, "a", permit);
  CHECK_TRUE(early.kind == ResultKind::kUnknown && late.kind == ResultKind::kUnknown);
  CHECK_TRUE(late.code == ErrorCode::kPermitHolderGone);
  CHECK_EQUAL(0, this->mesh.RunsOf("a"));
}

// Guards against a permit of an earlier incarnation that runs; the gate knows that it has not.
TEST(Permits, EarlierIncarnationNeverRuns) {
  const std::string permit = this->mesh.GetPermit(0);
  ++this->mesh.nodes[1].incarnation;
  this->mesh.Publish(1, membership::MemberState::kReady);
  const Answer answer = this->CallAndWait(0, "a", permit);
  CHECK_TRUE(answer.kind == ResultKind::kNotRun && answer.code == ErrorCode::kPermitInvalid);
  CHECK_EQUAL(0, this->mesh.RunsOf("a"));
}

// Guards against an expired permit that runs, and against a wrong outcome for it.
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

// Guards against an answer that is kept too long or too short.
TEST(Permits, AnswerIsKeptForItsTime) {
  const std::string permit = this->mesh.GetPermit(0);
  this->CallAndWait(0, "a", permit);
  this->mesh.RunFor(Seconds(115));
  CHECK_TRUE(this->CallAndWait(0, "a", permit).kind == ResultKind::kAnswered);
  this->mesh.RunFor(Seconds(10));
  const Answer dropped = this->CallAndWait(0, "a", permit);
  CHECK_TRUE(dropped.kind == ResultKind::kUnknown && dropped.code == ErrorCode::kAnswerDropped);
}

// Guards against a "not run" after which another copy still runs.
TEST(Permits, RefusedPermitNeverRuns) {
  const std::string permit = this->mesh.GetPermit(0);
  this->mesh.Deliver(1, AdmissionChanged{false});
  CHECK_TRUE(this->CallAndWait(0, "a", permit).code == ErrorCode::kNodeNotReady);
  this->mesh.Deliver(1, AdmissionChanged{true});
  const Answer again = this->CallAndWait(2, "a", permit);
  CHECK_TRUE(again.kind == ResultKind::kNotRun && again.code == ErrorCode::kPermitInvalid);
  CHECK_EQUAL(0, this->mesh.RunsOf("a"));
}

// Guards against a resend that is refused as not run, or sent to another gate, because the routes
// have changed since the first copy ran.
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

// Guards against an entry node that calls a request not run of which it does not know all copies.
TEST(Permits, EntryAloneNeverSaysNotRun) {
  const std::string permit = this->mesh.GetPermit(0);
  this->CallAndWait(0, "a", permit);
  this->mesh.Deliver(2, AdmissionChanged{false});
  CHECK_TRUE(this->CallAndWait(2, "a", permit).kind == ResultKind::kUnknown);
  this->mesh.KillNode(1);
  const std::uint64_t call = this->mesh.Call(0, "/permit", "a", permit);
  this->mesh.RunFor(Seconds(4));
  CHECK_TRUE(this->mesh.AnswerOf(call).kind == ResultKind::kUnknown);
}

// Guards against a lost answer that stays lost although the gate keeps it.
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

// Guards against permits that anyone can make or change.
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

// Guards against callers that wait for ever for a permit.
TEST(Permits, AskEndsWithoutAGate) {
  this->mesh.filter = [](std::size_t, std::size_t, const Message&) { return false; };
  std::optional<AnswerPermit> answer;
  this->mesh.AskPermit(0, [&answer](const AnswerPermit& given) { answer = given; });
  this->mesh.RunFor(Seconds(2));
  CHECK_TRUE(answer && answer->code == ErrorCode::kGateUnreachable);
  this->mesh.AskPermit(
      0, [&answer](const AnswerPermit& given) { answer = given; }, "/none");
  CHECK_TRUE(answer->code == ErrorCode::kNoRoute);
}

}  // namespace amaranthlatch::calls::testing
