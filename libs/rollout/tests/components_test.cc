// Parts of the rollout reducer by themselves.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "amaranthlatch/membership/member_table.h"
#include "amaranthlatch/rollout/message_codec.h"
#include "amaranthlatch/utils/random.h"
#include "coordinator.h"
#include "evidence.h"
#include "exposure_budget.h"
#include "participant.h"
#include "run_counters.h"

namespace amaranthlatch::rollout::testing {

namespace {

using utils::Milliseconds;
using utils::Seconds;
using utils::Timestamp;

Report FullReport() {
  Report report;
  report.service = "fleet";
  report.order = 7;
  report.version = "2";
  report.boot_id = UINT64_MAX;
  report.sent_at = Seconds(100);
  report.phase = Phase::kRamp;
  report.stopped = true;
  report.routes = {{"pay", 12, 3, {{0, 4}, {87, 5}}}, {"", 1, 1, {}}};
  return report;
}

}  // namespace

TEST_GROUP(RolloutComponents){};

// Guards against wrong thresholds of all findings. The expected values are exact sums.
TEST(RolloutComponents, BinomialTail) {
  DOUBLES_EQUAL(0.0546875, details::BinomialTail(10, 8, 0.5), 1e-9);
  DOUBLES_EQUAL(1.3585424e-4, details::BinomialTail(100, 15, 0.05), 1e-10);
  DOUBLES_EQUAL(0.1215766546, details::BinomialTail(20, 20, 0.9), 1e-9);
  DOUBLES_EQUAL(1.0, details::BinomialTail(10, 2, 0.5), 0.0);
  DOUBLES_EQUAL(0.0, details::BinomialTail(10, 11, 0.5), 0.0);
}

// Guards against buckets that do not contain their latencies.
TEST(RolloutComponents, LatencyBuckets) {
  for (std::int64_t latency = 1; latency < Seconds(400).count(); latency += 1 + latency / 7) {
    const std::size_t bucket = details::BucketOf(utils::Duration(latency));
    CHECK_TRUE(details::BucketStart(bucket) <= static_cast<double>(latency) * 1.0001);
    CHECK_TRUE(bucket == details::kLatencyBuckets - 1 ||
               static_cast<double>(latency) <= details::BucketStart(bucket + 1) * 1.0001);
  }
}

// Guards against runs that are no evidence but counted, and against the loss of one server that
// counts as many failures.
TEST(RolloutComponents, RunsAreCountedByOutcome) {
  const Timestamp start(Seconds(1000));
  details::RunCounters counters;
  std::uint64_t run = 0;
  const auto count = [&](RunOutcome outcome, bool is_cold = false) {
    counters.OnStarted({++run, "pay"}, is_cold, start);
    counters.OnEnded({run, outcome}, start + Milliseconds(40));
  };
  count(RunOutcome::kAnswered, true);
  count(RunOutcome::kFailed, true);
  count(RunOutcome::kNotRun);
  CHECK_TRUE(counters.ToRoutes().empty());
  count(RunOutcome::kAnswered);
  count(RunOutcome::kCancelled);
  count(RunOutcome::kFailed);
  for (int i = 0; i < 4; ++i) {
    count(RunOutcome::kServerLost);
  }
  CHECK_EQUAL(10, counters.Started());
  const RouteCounters expected{
      "pay", 4, 2, {{static_cast<std::uint8_t>(details::BucketOf(Milliseconds(40))), 2}}};
  CHECK_TRUE(counters.ToRoutes() == std::vector<RouteCounters>{expected});
}

// Guards against a process whose evidence is lost with it: none of the two fails often enough
// alone.
TEST(RolloutComponents, DeadProcessesStayInTheEvidence) {
  Options options;
  options.id = "a";
  membership::Member self;
  self.id = options.id;
  const membership::details::MemberTable members(self);
  const Timestamp start(Seconds(1000));
  details::Coordinator::Claim claim;
  claim.order = {"fleet", "2", Seconds(20), 7};
  claim.term = 1;
  details::Coordinator coordinator(options, claim, start);
  std::vector<Effect> effects;
  Report report;
  report.service = "fleet";
  report.order = 7;
  report.available = true;
  const auto deliver = [&](const membership::NodeId& from, const std::string& version,
                           std::uint64_t boot_id, std::uint64_t failures, int step) {
    report.version = version;
    report.boot_id = boot_id;
    report.sent_at = Milliseconds(step);
    report.routes = {{"pay", 40, failures, {{20, 40 - failures}}}};
    coordinator.OnReport(from, report, start + Milliseconds(std::int64_t{100} * step), members,
                         effects);
  };
  deliver("old", "1", 1, 0, 1);
  deliver("new", "2", 2, 5, 2);
  CHECK_FALSE(coordinator.Verdict().has_value());
  deliver("new", "2", 3, 5, 3);
  CHECK_TRUE(coordinator.Verdict() == State::kRolledBack);
}

// Guards against a new coordinator that grants again what an earlier one has granted.
TEST(RolloutComponents, EarlierGrantsCount) {
  details::ExposureBudget budget(0.1, 50.0);
  budget.AddRuns(1000, false, 0.06);
  budget.AddEarlierGrant(30);
  budget.RaiseEarlierSum(45);
  // 60 for the reported runs and 10 at the start.
  CHECK_EQUAL(25, budget.Grant(0, 1, 1));
  CHECK_EQUAL(0, budget.Grant(0, 1, 1));
}

// Guards against grants above the budget, whatever is reported in which order.
TEST(RolloutComponents, GrantsNeverExceedTheBudget) {
  utils::Random random(1);
  for (int run = 0; run < 200; ++run) {
    details::ExposureBudget budget(0.1, 50.0);
    std::uint64_t granted = 0;
    std::uint64_t started = 0;
    for (int step = 0; step < 300; ++step) {
      const bool is_ramp = step >= 200;
      budget.AddRuns(random.Uniform(40), false, is_ramp ? 0.2 : 0.06);
      granted += budget.Grant(random.Uniform(10), 1 + random.Uniform(5), 1 + random.Uniform(16));
      if (granted > started && random.Bernoulli(0.1)) {
        budget.Reclaim(1);
        --granted;
      }
      const std::uint64_t runs = random.Uniform(granted - started + 1);
      budget.AddRuns(runs, true, 0.06);
      started += runs;
      const auto total = static_cast<double>(budget.Total());
      CHECK_TRUE(static_cast<double>(granted) <= 0.09 * total + 25.0);
      CHECK_TRUE(is_ramp || static_cast<double>(granted) <= 0.06 * total + 10.0);
    }
    CHECK_TRUE(granted > 50);
  }
}

// Guards against directives that are late, meant for an earlier process or of a replaced
// coordinator, and against a stop that such a coordinator could revoke.
TEST(RolloutComponents, DirectivesAreFenced) {
  Options options;
  options.id = "a";
  options.boot_id = 5;
  membership::Member self;
  self.id = options.id;
  const membership::details::MemberTable members(self);
  const Timestamp start(Seconds(1000));
  details::Participant participant(options);
  participant.OnServer({"fleet", "2", 8, true, {}}, start);
  participant.SetOrder({"fleet", "2", Seconds(20), 7}, start, members);
  const Report report = participant.MakeReport(start, false);
  Directive directive;
  directive.boot_id = report.boot_id;
  directive.server = report.server;
  directive.term = 4;
  directive.sequence = 2;
  directive.phase = Phase::kCanary;
  directive.announce = true;
  directive.allowance = 2;
  directive.sent_at = report.sent_at;
  directive.lease = Milliseconds(1500);
  // The lease counts from the report, however late the directive is.
  CHECK_TRUE(participant.OnDirective(directive, start + Milliseconds(1400)));
  CHECK_TRUE(participant.Admission(start + Milliseconds(1499)).accept);
  CHECK_FALSE(participant.Admission(start + Milliseconds(1500)).accept);
  const auto change = [&directive](auto edit) {
    Directive other = directive;
    edit(other);
    return other;
  };
  const std::vector<Directive> outdated = {
      directive, change([](Directive& d) { d.sequence = 1; }),
      change([](Directive& d) { d.term = 3, d.sequence = 9; }),
      change([](Directive& d) { d.boot_id = 4, d.sequence = 9; }),
      change([](Directive& d) { d.server = 0, d.sequence = 9; })};
  for (const Directive& other : outdated) {
    CHECK_FALSE(participant.OnDirective(other, start));
  }
  participant.OnRunStarted({1, "pay"}, start);
  CHECK_TRUE(participant.Admission(start).accept);
  participant.OnRunStarted({2, "pay"}, start);
  CHECK_FALSE(participant.Admission(start).accept);
  participant.OnDirective(change([](Directive& d) { d.term = 1, d.phase = Phase::kStopped; }),
                          start);
  CHECK_TRUE(participant.OnDirective(
      change([](Directive& d) { d.term = 6, d.phase = Phase::kPromote; }), start));
  CHECK_FALSE(participant.Admission(start).accept);
}

// Guards against malformed messages that are accepted, and against fields lost on the way. All
// messages of the other tests pass through the codec as well.
TEST(RolloutComponents, CodecRejectsMalformedMessages) {
  Directive directive;
  directive.service = "fleet";
  directive.replaced_versions = {"1", "0"};
  directive.lease = Seconds(1);
  const std::vector<Message> messages = {FullReport(), directive,
                                         Redirect{"fleet", 7, "a", 3, true}};
  utils::Random random(1);
  for (const Message& message : messages) {
    const std::string bytes = ToCbor(message);
    CHECK_TRUE(*MessageFromCbor(bytes) == message);
    CHECK_FALSE(MessageFromCbor(bytes + '\0').has_value());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CHECK_FALSE(MessageFromCbor(bytes.substr(0, size)).has_value());
    }
    for (int i = 0; i < 2000; ++i) {
      std::string changed = bytes;
      changed[random.Uniform(changed.size())] = static_cast<char>(random.Uniform(256));
      const utils::Result<Message> decoded = MessageFromCbor(changed);
      // What is accepted is a message that can be passed on.
      CHECK_TRUE(!decoded || *MessageFromCbor(ToCbor(*decoded)) == *decoded);
    }
  }
}

}  // namespace amaranthlatch::rollout::testing
