// Tests of the application of publish records to the accepted state.

#include "amaranthlatch/acceptance/state.h"

#include <CppUTest/TestHarness.h>

#include "amaranthlatch/acceptance/publish_record.h"
#include "amaranthlatch/acceptance/verdict_json.h"
#include "record_fixture.h"

namespace amaranthlatch::acceptance {

using utils::ErrorCode;

TEST_GROUP(State) {
  State state;
  Offset next = 1;

  Verdict Publish(const nlohmann::json& record) {
    const auto verdict = this->state.Apply(this->next, record);
    ++this->next;
    CHECK_TRUE(verdict.has_value());
    CHECK_TRUE(this->state.FirstDanglingReference().empty());
    return *verdict;
  }
};

// Guards against an accepted document that is not served and a verdict that is missing in the
// history.
TEST(State, AcceptedDocumentIsInForceAndInTheHistory) {
  const Verdict verdict = Publish(MakePutRecord("p1", MakeDocument("a"), 0));
  CHECK_TRUE(verdict.outcome == Outcome::kAccepted);
  const auto match = this->state.Match("A.example:80", "/readings/1?x", "GET");
  CHECK_TRUE(match.has_value());
  CHECK_TRUE(match->version == 1);
  STRCMP_EQUAL("work", match->route->name.c_str());
  CHECK_TRUE(this->state.History("a") == std::vector<Verdict>{verdict});
}

// Guards against two accepted changes on one base version, and a refusal that does not identify the
// accepted change.
TEST(State, FirstOfTwoConcurrentPublishersIsAccepted) {
  Publish(MakePutRecord("p1", MakeDocument("a"), 0));
  CHECK_TRUE(Publish(MakePutRecord("p2", MakeDocument("a"), 1)).outcome == Outcome::kAccepted);
  const Verdict refused = Publish(MakePutRecord("p3", MakeDocument("a"), 1));
  CHECK_TRUE(refused.code == ErrorCode::kBaseVersionMismatch);
  CHECK_TRUE(refused.message.find("version 2 with publish id \"p2\"") != std::string::npos);
}

// Guards against a publisher's retried append that is applied as a second change.
TEST(State, RepeatedPublishIdReturnsTheFirstVerdict) {
  const Verdict first = Publish(MakePutRecord("p1", MakeDocument("a"), 0));
  Verdict repeated = Publish(MakePutRecord("p1", MakeDocument("a"), 0));
  CHECK_TRUE(repeated.outcome == Outcome::kDuplicate);
  repeated.outcome = first.outcome;
  CHECK_TRUE(repeated == first);
  CHECK_TRUE(this->state.History("a").size() == 1);
}

// Guards against routes to services or versions that are not in force (guarantee P2).
TEST(State, ReferencesMustResolveInBothDirections) {
  nlohmann::json source = MakeDocument("a");
  source["routes"][0]["split"][0]["service"] = "b";
  const Verdict dangling = Publish(MakePutRecord("p1", source, 0));
  CHECK_TRUE(dangling.code == ErrorCode::kDanglingReference);
  STRCMP_EQUAL("/routes/0/split/0/service", dangling.pointer.c_str());
  Publish(MakePutRecord("p2", MakeDocument("b"), 0));
  CHECK_TRUE(Publish(MakePutRecord("p3", source, 0)).outcome == Outcome::kAccepted);
  CHECK_TRUE(Publish(MakeRemoveRecord("p4", "b", 2)).code == ErrorCode::kReferencedByOther);
  nlohmann::json renamed = MakeDocument("b");
  renamed["versions"] = {{"other", {{"labels", nlohmann::json::object()}}}};
  renamed["routes"] = nlohmann::json::array();
  CHECK_TRUE(Publish(MakePutRecord("p5", renamed, 2)).code == ErrorCode::kReferencedByOther);
  CHECK_TRUE(this->state.FindReferencingServices("b") == std::vector<std::string>{"a"});
  CHECK_TRUE(Publish(MakeRemoveRecord("p6", "a", 3)).outcome == Outcome::kAccepted);
  CHECK_TRUE(Publish(MakeRemoveRecord("p7", "b", 2)).outcome == Outcome::kAccepted);
  CHECK_TRUE(this->state.Services().empty());
}

// Guards against a host that is routed to two services.
TEST(State, HostBelongsToOneService) {
  Publish(MakePutRecord("p1", MakeDocument("a"), 0));
  nlohmann::json second = MakeDocument("b");
  second["hosts"] = {"b.example", "a.example"};
  const Verdict verdict = Publish(MakePutRecord("p2", second, 0));
  CHECK_TRUE(verdict.code == ErrorCode::kHostTaken);
  STRCMP_EQUAL("/hosts/1", verdict.pointer.c_str());
}

// Guards against a malformed record that stops all nodes, and a record of a newer format that is
// skipped.
TEST(State, MalformedRecordsAdvanceTheHeadAndNewerFormatsStopIt) {
  for (const char* text : {"7", "{}", "[]", "null", R"({"format":-1})", R"({"format":"1"})"}) {
    const Verdict verdict = Publish(nlohmann::json::parse(text));
    CHECK_TRUE(verdict.code == ErrorCode::kRecordMalformed);
  }
  const std::uint64_t hash = this->state.Hash();
  const auto stopped = this->state.Apply(7, {{"format", 2}});
  CHECK_TRUE(!stopped && stopped.error().code == ErrorCode::kRecordUnknownFormat);
  CHECK_TRUE(this->state.HeadOffset() == 6 && this->state.Hash() == hash);
  const auto repeated = this->state.Apply(6, MakePutRecord("p1", MakeDocument("a"), 0));
  CHECK_TRUE(!repeated && repeated.error().code == ErrorCode::kOffsetGap);
}

// Guards against verdicts of the audit trail that cannot be parsed or lose fields.
TEST(State, VerdictsRoundTripThroughJson) {
  Publish(MakePutRecord("p1", MakeDocument("a"), 0));
  for (const nlohmann::json& record :
       {MakePutRecord("p2", MakeDocument("a"), 1), MakePutRecord("p1", MakeDocument("a"), 1),
        MakeRemoveRecord("p3", "a", 1), MakeRemoveRecord("p4", "a", 2)}) {
    const Verdict verdict = Publish(record);
    CHECK_TRUE(VerdictFromJson(ToJson(verdict)) == verdict);
  }
  for (const char* text : {"7", "{}", R"({"outcome":"accepted"})"}) {
    CHECK_FALSE(VerdictFromJson(nlohmann::json::parse(text)).has_value());
  }
}

// Guards against snapshots that lose a part of the state.
TEST(State, SnapshotRoundTripPreservesTheState) {
  Publish(MakePutRecord("p1", MakeDocument("a"), 0));
  Publish(MakePutRecord("p2", MakeDocument("a"), 9));
  const std::string bytes = this->state.EncodeSnapshot();
  auto decoded = State::DecodeSnapshot(bytes);
  CHECK_TRUE(decoded.has_value());
  CHECK_TRUE(decoded->Hash() == this->state.Hash());
  CHECK_TRUE(decoded->EncodeSnapshot() == bytes);
  CHECK_TRUE(decoded->History("a") == this->state.History("a"));
  CHECK_TRUE(decoded->FindVerdictByPublishId("p2") == this->state.FindVerdictByPublishId("p2"));
}

}  // namespace amaranthlatch::acceptance
