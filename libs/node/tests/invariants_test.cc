// Tests that the invariant checks detect the violations that they exist for.

#include "amaranthlatch/node/invariants.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "amaranthlatch/acceptance/publish_record.h"

namespace amaranthlatch::node {

namespace {

nlohmann::json MakeRecord(const std::string& publish_id, document::Version base,
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

// Returns the initial state and the states after a put, a second put and a remove.
std::vector<acceptance::State> MakeStates() {
  std::vector<acceptance::State> states(1);
  const std::vector<nlohmann::json> records = {MakeRecord("a", 0, acceptance::Action::kPut),
                                               MakeRecord("b", 1, acceptance::Action::kPut),
                                               MakeRecord("c", 2, acceptance::Action::kRemove)};
  for (const nlohmann::json& record : records) {
    acceptance::State next = states.back();
    const auto verdict = next.Apply(next.HeadOffset() + 1, record);
    CHECK_TRUE(verdict && verdict->outcome == acceptance::Outcome::kAccepted);
    states.push_back(next);
  }
  return states;
}

// Names of the invariants that the sequence of states violates, with 10 as the held offset.
std::string ViolatedInvariants(const std::vector<acceptance::State>& states) {
  InvariantChecker invariants;
  std::vector<InvariantViolated> violations;
  for (const acceptance::State& state : states) {
    invariants.CheckState(state, 10, violations);
  }
  std::string names;
  for (const InvariantViolated& violation : violations) {
    names.append(violation.invariant).append(" ");
  }
  return names;
}

}  // namespace

TEST_GROUP(InvariantChecker){};

// Guards against a check that stops a node for an allowed change, such as an accepted removal.
TEST(InvariantChecker, AcceptedHistoryHasNoViolations) {
  STRCMP_EQUAL("", ViolatedInvariants(MakeStates()).c_str());
}

// Guards against an undetected return to an older version.
TEST(InvariantChecker, DecreasingVersionIsDetected) {
  const std::vector<acceptance::State> states = MakeStates();
  STRCMP_EQUAL("P1 P1 ", ViolatedInvariants({states[2], states[1]}).c_str());
  STRCMP_EQUAL("P1 P9 ", ViolatedInvariants({states[1], states[0]}).c_str());
}

// Guards against an undetected state that is not the fold of the log prefix.
TEST(InvariantChecker, DifferentStateAtSameOffsetIsDetected) {
  const std::vector<acceptance::State> states = MakeStates();
  acceptance::State other = states[1];
  CHECK_TRUE(other.Apply(2, MakeRecord("z", 1, acceptance::Action::kPut)).has_value());
  STRCMP_EQUAL("P3 ", ViolatedInvariants({states[2], other}).c_str());
}

// Guards against undetected calls that are answered twice, answered without having been opened, or
// opened under a number in use.
TEST(InvariantChecker, SecondAnswerIsDetected) {
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
