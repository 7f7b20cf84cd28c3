// Parts of the reducer by themselves.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "amaranthlatch/membership/member_table.h"
#include "amaranthlatch/quota/message_codec.h"
#include "amaranthlatch/quota/quota.h"
#include "credit.h"
#include "member_count.h"
#include "zone_groups.h"

namespace amaranthlatch::quota {

using utils::Milliseconds;
using utils::Seconds;
using utils::Timestamp;

namespace {

membership::Member MakeMember(std::size_t index) {
  membership::Member member;
  member.id = "10.0.0." + std::to_string(index) + ":7000";
  member.zone = "zone";
  member.state = membership::MemberState::kReady;
  return member;
}

Options MakeOptions(std::size_t index) {
  Options options;
  options.id = MakeMember(index).id;
  options.zone = "zone";
  options.boot_id = 1 + index;
  return options;
}

}  // namespace

TEST_GROUP(QuotaComponents){};

// Guards against messages that are taken for valid with a field cut off, added or out of range.
TEST(QuotaComponents, CodecRejectsMalformedMessages) {
  const Stamp stamp{7, Timestamp(Seconds(3))};
  const std::vector<Message> messages = {
      CreditRequest{stamp, 5, stamp, {{"a", 1500, 2, 3}}},
      CreditRequest{stamp, 5, std::nullopt, {}},
      CreditGrant{stamp, 1, stamp, 5, {{"a", 2, 30, 77}, {"b", 0, 0, 1}}},
      TransferRequest{stamp, 5, {{"a", 1500, true}}},
      Transfer{stamp, 5, "10.0.0.1:7000", {{"a", 1500, 200, 77}}},
  };
  for (const Message& message : messages) {
    const std::string bytes = ToCbor(message);
    CHECK_TRUE(MessageFromCbor(bytes) == message);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CHECK_FALSE(MessageFromCbor(std::string_view(bytes).substr(0, size)).has_value());
    }
    CHECK_FALSE(MessageFromCbor(bytes + '\0').has_value());
  }
  CHECK_FALSE(MessageFromCbor(ToCbor(TransferRequest{stamp, 5, {{"a", UINT64_MAX, true}}})));
  CHECK_FALSE(
      MessageFromCbor(ToCbor(TransferRequest{stamp, 5, {{std::string(300, 'a'), 1, true}}})));
}

// Guards against credit that a call which was not run returns twice, or after its expiry.
TEST(QuotaComponents, CreditIsReturnedOnceAndOnlyWhileValid) {
  details::Credit credit;
  const Timestamp start(Seconds(1));
  credit.Add(1, start + Milliseconds(250));
  CHECK_TRUE(credit.Take(start));
  CHECK_FALSE(credit.Take(start));
  credit.Return(start, start + Milliseconds(100));
  credit.Return(start, start + Milliseconds(100));
  CHECK_EQUAL(1U, credit.ValidAt(start + Milliseconds(100)));
  CHECK_TRUE(credit.Take(start + Milliseconds(100)));
  credit.Return(start + Milliseconds(100), start + Milliseconds(250));
  CHECK_FALSE(credit.Take(start + Milliseconds(250)));
}

// Guards against shares that add up to more than 1 while nodes list different numbers of members.
TEST(QuotaComponents, GreatestMemberCountCountsForSomeTime) {
  details::MemberCount count(Seconds(10));
  CHECK_EQUAL(1U, count.Greatest());
  count.Observe(80, Timestamp(Seconds(1)));
  count.Observe(75, Timestamp(Seconds(2)));
  count.Observe(75, Timestamp(Seconds(11)));
  CHECK_EQUAL(80U, count.Greatest());
  count.Observe(75, Timestamp(Seconds(12)));
  CHECK_EQUAL(75U, count.Greatest());
}

// Guards against groups that nodes compute differently, and groups too large for their holder.
TEST(QuotaComponents, NodesAgreeOnGroups) {
  constexpr std::size_t kMembers = 300;
  std::set<std::vector<membership::NodeId>> groups;
  std::size_t grouped = 0;
  for (std::size_t i = 0; i < kMembers; i += 10) {
    membership::details::MemberTable members(MakeMember(i));
    for (std::size_t j = 0; j < kMembers; ++j) {
      members.Merge(MakeMember(j), {});
    }
    const Options options = MakeOptions(i);
    details::ZoneGroups zone_groups(options);
    zone_groups.Update(members);
    groups.insert(zone_groups.Own());
    CHECK_TRUE(std::count(zone_groups.Own().begin(), zone_groups.Own().end(), options.id) == 1);
    CHECK_EQUAL(4U, zone_groups.Others().size());
  }
  CHECK_EQUAL(5U, groups.size());
  for (const auto& group : groups) {
    grouped += group.size();
    CHECK_TRUE(group.size() <= 100);
  }
  CHECK_EQUAL(kMembers, grouped);
}

// Guards against times to send again that do not depend on the excess or are the same for all
// callers, calls that wait for more than 150 ms, and decisions on calls that are gone.
TEST(QuotaComponents, RefusedCallsAreSpreadByTheExcess) {
  const membership::details::MemberTable members(MakeMember(0));
  Quota quota = *Quota::Create(MakeOptions(0));
  Timestamp now(Seconds(1));
  quota.Reduce(MembersListed{true}, now, members);
  quota.Reduce(LimitsChanged{std::make_shared<const Limits>(Limits{{"workspace", {10.0, 5.0}}})},
               now, members);
  std::vector<utils::Duration> times;
  std::set<std::uint64_t> decided;
  const auto reduce = [&](const Event& event) {
    for (const Effect& effect : quota.Reduce(event, now, members)) {
      if (const auto* const refuse = std::get_if<RefuseCall>(&effect)) {
        times.push_back(refuse->retry_after);
        decided.insert(refuse->call);
      } else if (const auto* const admit = std::get_if<AdmitCall>(&effect)) {
        decided.insert(admit->call);
      }
    }
  };
  // Before the share of this node may be used, no call is admitted.
  for (std::uint64_t call = 0; call < 400; ++call) {
    reduce(CallArrived{call, "workspace"});
    reduce(CallGone{call % 2 == 0 ? call : UINT64_MAX});
  }
  while (quota.NextWake() && *quota.NextWake() <= Timestamp(Milliseconds(1150))) {
    now = *quota.NextWake();
    reduce(WakeUp{});
  }
  CHECK_EQUAL(200U, std::count_if(decided.begin(), decided.end(),
                                  [](std::uint64_t call) { return call % 2 == 1; }));
  CHECK_TRUE(*std::min_element(times.begin(), times.end()) >= Milliseconds(50));
  CHECK_TRUE(*std::max_element(times.begin(), times.end()) > 5 * times.front());
  CHECK_TRUE(*std::max_element(times.begin(), times.end()) <= Milliseconds(6250));
  CHECK_TRUE(std::set<utils::Duration>(times.begin(), times.end()).size() > times.size() / 4);
}

}  // namespace amaranthlatch::quota
