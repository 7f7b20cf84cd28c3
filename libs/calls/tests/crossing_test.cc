// Tests of the choice between zones.

#include <CppUTest/TestHarness.h>

#include <map>

#include "amaranthlatch/calls/balance_policy.h"
#include "crossing_decision.h"

namespace amaranthlatch::calls::testing {

using details::CrossingDecision;
using membership::Member;
using utils::Milliseconds;
using utils::Seconds;
using utils::Timestamp;

TEST_GROUP(Crossing) {
  CrossingDecision decision;
  utils::Random random{1};
  Timestamp now{Seconds(100)};

  // A near candidate and one in another zone of the region, with their costs.
  static CandidateRanking Rank(double near_ms, double far_ms) {
    CandidateRanking ranking;
    RankedCandidate near;
    near.cost_us = near_ms * 1e3;
    near.has_report = true;
    RankedCandidate far = near;
    far.index = 1;
    far.cost_us = far_ms * 1e3;
    far.crossing_us = 30e3;
    far.has_free_slot = true;
    ranking.Add(0, near);
    ranking.Add(1, far);
    return ranking;
  }
  // Number of calls that leave the zone of 100, one each 5 ms.
  int Crossings(const CandidateRanking& ranking, const CrossingDecision::Stake& stake = {}) {
    int crossings = 0;
    for (int i = 0; i < 100; ++i) {
      this->now += Milliseconds(5);
      crossings += this->decision.Choose(7, ranking, stake, this->now, this->random) == 1 ? 1 : 0;
    }
    return crossings;
  }
};

// Guards against entries that all leave their zone at the same moment, that never leave a zone
// which stays full, and that go on when the far side refuses.
TEST(Crossing, ShareMovesInStepsAndFallsAtRefusals) {
  const CandidateRanking full = Rank(90, 30);
  const int first = this->Crossings(full);
  CHECK_TRUE(first > 10 && first < 60);
  this->Crossings(full);
  const int later = this->Crossings(full);
  CHECK_TRUE(later >= 95);
  this->decision.OnRefused(7, 1, this->now);
  this->decision.OnRefused(7, 1, this->now);
  CHECK_TRUE(this->Crossings(full) < 50);
  // Without a gain no call leaves; the share falls by steps, so that a short dip does not end it.
  CHECK_EQUAL(0, this->Crossings(Rank(20, 30)));
  const double share = this->decision.Share(7, 1);
  CHECK_TRUE(share < 0.3);
  // Other routes have their own share.
  DOUBLES_EQUAL(0.0, this->decision.Share(8, 1), 0.0);
}

// Guards against zones that exchange calls while both have queues, against calls that are refused
// at home although a far server has time for them, and against calls that stay with failing
// servers.
TEST(Crossing, QueuesLatenessAndFailuresDecide) {
  CandidateRanking both_queue = Rank(80, 70);
  RankedCandidate far = both_queue.Best(1);
  far.has_free_slot = false;
  CandidateRanking queue = Rank(80, 1'000);
  queue.Add(1, far);
  CHECK_EQUAL(0, this->Crossings(queue));
  CandidateRanking late;
  RankedCandidate near = Rank(80, 500).Best(0);
  near.is_late = true;
  late.Add(0, near);
  late.Add(1, Rank(80, 500).Best(1));
  CHECK_EQUAL(100, this->Crossings(late));
  CandidateRanking failing;
  near.is_late = false;
  near.failure_us = 75e3;
  failing.Add(0, near);
  failing.Add(1, Rank(80, 30).Best(1));
  CHECK_EQUAL(100, this->Crossings(failing));
}

// Guards against calls of a full zone, and further attempts, that leave at a price above what they
// are worth; against nested calls that are lost for the price; and against a price that keeps calls
// at servers that cannot be reached.
TEST(Crossing, ACallLeavesOnlyIfItIsWorthThePrice) {
  RankedCandidate near = Rank(80, 500).Best(0);
  RankedCandidate far = Rank(80, 500).Best(1);
  far.crossing_us = 500e3;
  near.is_late = true;
  const auto ranking = [&near, &far] {
    CandidateRanking result;
    result.Add(0, near);
    result.Add(1, far);
    return result;
  };
  for (const bool is_repeated : {false, true}) {
    CHECK_EQUAL(0, this->Crossings(ranking(), {0, 400e3, is_repeated}));
    CHECK_TRUE(this->decision.WasTooExpensive());
    CHECK_EQUAL(100, this->Crossings(ranking(), {0, 600e3, is_repeated}));
    CHECK_FALSE(this->decision.WasTooExpensive());
    CHECK_EQUAL(100, this->Crossings(ranking(), {.home = 0, .is_repeated = is_repeated}));
  }
  // All servers at home were tried: the call goes back to them, or leaves.
  CandidateRanking tried;
  tried.Add(1, far);
  CHECK_FALSE(this->decision.Choose(7, tried, {0, 400e3, true}, this->now, this->random));
  CHECK_EQUAL(100, this->Crossings(tried, {0, 600e3, true}));
  // No server at home at all, or none that can be reached.
  CHECK_EQUAL(100, this->Crossings(tried, {1, 1e3, false}));
  near.is_late = false;
  near.is_unreachable = true;
  CHECK_EQUAL(100, this->Crossings(ranking(), {0, 1e3, false}));
}

// Guards against large answers that leave the zone as cheaply as small ones, and against entries
// with the same reports that all send to the same gate.
TEST(Crossing, BytesCostAndNearlyEqualGatesShare) {
  ExpectedTimePolicy::Costs costs;
  costs.cross_zone_per_kb = Milliseconds(1);
  const ExpectedTimePolicy policy(costs);
  Member member;
  member.slots = 10;
  std::vector<Candidate> candidates(4);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].member = &member;
    candidates[i].service_time_us = 100e3;
    candidates[i].calls_ahead = i == 0 ? 14 : 5 + static_cast<std::uint32_t>(i);
    candidates[i].distance = i == 0 ? Distance::kZone : Distance::kRegion;
  }
  const auto group = [&](double kilobytes, double weight) {
    return policy.Rank(candidates, CallProfile{kilobytes, weight}, this->random).BestGroup();
  };
  CHECK_EQUAL(1, group(1, 1.0));
  CHECK_EQUAL(0, group(90, 1.0));
  CHECK_EQUAL(1, group(90, 0.25));
  candidates[3].calls_ahead = 30;
  const CandidateRanking ranking = policy.Rank(candidates, CallProfile{}, this->random);
  std::map<std::size_t, int> drawn;
  for (int i = 0; i < 1'000; ++i) {
    ++drawn[ranking.Draw(1, this->random)];
  }
  CHECK_TRUE(drawn[1] > 300 && drawn[2] > 300 && drawn[3] < 20);
}

}  // namespace amaranthlatch::calls::testing
