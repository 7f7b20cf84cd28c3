// Tests that the checks of the promises notice what they are for.

#include "amaranthlatch/node/invariants.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "amaranthlatch/acceptance/publish_record.h"

namespace amaranthlatch::node {

namespace {

nlohmann::json PutRecord(const std::string& publish_id, document::Version base,
                         acceptance::Action action) {
  acceptance::PublishRecord record;
  record.publish_id = publish_id;
  record.service = "fleet";
  record.base_version = base;
  record.author = "operator";
  record.published_at = "2024-01-01T00:00:00Z";
  record.action = action;
  if (action == acceptance::Action::kPut) {
    record.document = {{"format", 1},
                       {"service", "fleet"},
                       {"owner", "team"},
                       {"hosts", {"fleet.example"}},
                       {"versions", {{"stable", {{"labels", nlohmann::json::object()}}}}},
                       {"routes",
                        {{{"name", "all"},
                          {"path_prefix", "/"},
                          {"split", {{{"version", "stable"}, {"weight", 1}}}},
                          {"idempotent", true},
                          {"priority", "normal"},
                          {"deadline_ms", 1000}}}}};
  }
  return acceptance::ToJson(record);
}

// The states after each of three records: put, put, remove.
std::vector<acceptance::State> States() {
  std::vector<acceptance::State> states(1);
  const std::vector<nlohmann::json> records = {PutRecord("a", 0, acceptance::Action::kPut),
                                               PutRecord("b", 1, acceptance::Action::kPut),
                                               PutRecord("c", 2, acceptance::Action::kRemove)};
  for (const nlohmann::json& record : records) {
    acceptance::State next = states.back();
    const auto verdict = next.Apply(next.HeadOffset() + 1, record);
    CHECK_TRUE(verdict && verdict->outcome == acceptance::Outcome::kAccepted);
    states.push_back(next);
  }
  return states;
}

// Promises that the sequence of states breaks, each with its own offset as the held one.
std::string Broken(const std::vector<acceptance::State>& states) {
  InvariantChecker invariants;
  std::vector<InvariantViolated> violations;
  for (const acceptance::State& state : states) {
    invariants.CheckState(state, 10, violations);
  }
  std::string promises;
  for (const InvariantViolated& violation : violations) {
    promises.append(violation.invariant).append(" ");
  }
  return promises;
}

}  // namespace

TEST_GROUP(InvariantChecker){};

// Guards against a check that stops a node for an allowed change, among them an accepted removal.
TEST(InvariantChecker, AcceptedHistoryBreaksNothing) { STRCMP_EQUAL("", Broken(States()).c_str()); }

// Guards against an unnoticed return to an older version.
TEST(InvariantChecker, FallingVersionIsNoticed) {
  const std::vector<acceptance::State> states = States();
  STRCMP_EQUAL("P1 P1 ", Broken({states[2], states[1]}).c_str());
  STRCMP_EQUAL("P1 P9 ", Broken({states[1], states[0]}).c_str());
}

// Guards against an unnoticed state that is no fold of the prefix.
TEST(InvariantChecker, OtherStateAtTheSameOffsetIsNoticed) {
  const std::vector<acceptance::State> states = States();
  acceptance::State other = states[1];
  CHECK_TRUE(other.Apply(2, PutRecord("z", 1, acceptance::Action::kPut)).has_value());
  STRCMP_EQUAL("P3 ", Broken({states[2], other}).c_str());
}

// Guards against calls that are answered twice, never asked, or opened under one number.
TEST(InvariantChecker, SecondAnswerIsNoticed) {
  InvariantChecker invariants;
  std::vector<InvariantViolated> violations;
  invariants.OnCallOpened(7, violations);
  invariants.OnCallAnswered(7, violations);
  CHECK_TRUE(violations.empty());
  invariants.OnCallAnswered(7, violations);
  CHECK_EQUAL(1U, violations.size());
  invariants.OnCallOpened(8, violations);
  invariants.OnCallOpened(8, violations);
  CHECK_EQUAL(2U, violations.size());
}

}  // namespace amaranthlatch::node
