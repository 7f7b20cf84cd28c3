// Parts of the reducer by themselves.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "amaranthlatch/membership/member_table.h"
#include "amaranthlatch/quota/message_codec.h"
#include "amaranthlatch/quota/quota.h"
#include "amaranthlatch/utils/hash.h"
#include "bucket.h"
#include "credit.h"
#include "holder_selection.h"
#include "limit_table.h"
#include "member_count.h"
#include "transfer_rounds.h"
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

// Guards against credit of grants that come late, twice, from another node, for another process, or
// from before a limit was lowered.
TEST(QuotaComponents, GrantsAreAcceptedOnceAndInTime) {
  // The member that ranks first of the two is the holder.
  const std::size_t self = utils::RendezvousWeight("zone", MakeMember(0).id) >
                                   utils::RendezvousWeight("zone", MakeMember(1).id)
                               ? 1
                               : 0;
  const membership::NodeId holder = MakeMember(1 - self).id;
  membership::details::MemberTable members(MakeMember(self));
  members.Merge(MakeMember(1 - self), {});
  const auto limits = [](double rate) {
    return LimitsChanged{std::make_shared<const Limits>(Limits{{"workspace", {rate, 5.0}}})};
  };
  const auto tag = [](double rate) { return details::LimitTag(Limit{rate, 5.0}); };
  Quota quota = *Quota::Create(MakeOptions(self));
  Timestamp now(Seconds(1));
  std::vector<Effect> effects = quota.Reduce(limits(10.0), now, members);
  const auto admits = [&](const Event& event) {
    effects = quota.Reduce(event, now, members);
    return std::count_if(effects.begin(), effects.end(), [](const Effect& effect) {
      return std::holds_alternative<AdmitCall>(effect);
    });
  };
  const auto request = [&] {
    CHECK_FALSE(effects.empty());
    const auto* const sent = std::get_if<SendMessage>(&effects.back());
    CHECK_TRUE(sent != nullptr && sent->to == holder);
    return std::get<CreditRequest>(sent->message).sent;
  };
  const auto grant = [&](Stamp stamp, std::uint32_t part, std::uint32_t tag) {
    const Stamp sent{99, Timestamp(Seconds(50) + utils::Duration(part))};
    return PeerMessage{holder, CreditGrant{stamp, part, sent, 2, {{"workspace", 1, 0, tag}}}};
  };
  // The probe that finds the holder, and a call that waits.
  CHECK_EQUAL(0, admits(grant(request(), 0, tag(10.0))));
  now += Milliseconds(20);
  CHECK_EQUAL(0, admits(CallArrived{1, "workspace"}));
  now += Milliseconds(2);
  CHECK_EQUAL(0, admits(WakeUp{}));
  const Stamp first = request();
  CHECK_EQUAL(0, admits(grant(Stamp{first.boot_id + 1, first.time}, 1, tag(10.0))));
  CHECK_EQUAL(0,
              admits(grant(Stamp{first.boot_id, first.time - utils::Duration(1)}, 1, tag(10.0))));
  CHECK_EQUAL(0, admits(PeerMessage{"10.9.9.9:1", grant(first, 1, tag(10.0)).message}));
  CHECK_EQUAL(1, admits(grant(first, 1, tag(10.0))));
  CHECK_EQUAL(0, admits(grant(first, 1, tag(10.0))));
  CHECK_EQUAL(0, admits(CallArrived{2, "workspace"}));
  now += Milliseconds(100);
  CHECK_EQUAL(1, admits(grant(first, 0, tag(10.0))));
  // Credit that is granted 200 ms after the request expires 50 ms later.
  now += Milliseconds(100);
  CHECK_EQUAL(0, admits(grant(first, 2, tag(10.0))));
  now += Milliseconds(49);
  CHECK_EQUAL(1, admits(CallArrived{3, "workspace"}));
  CHECK_EQUAL(0, admits(grant(first, 3, tag(10.0))));
  now += Milliseconds(1);
  CHECK_EQUAL(0, admits(CallArrived{4, "workspace"}));
  CHECK_EQUAL(0, admits(grant(first, 4, tag(10.0))));
  // A lower limit voids credit; that of a holder without it is rejected.
  now += Milliseconds(20);
  CHECK_EQUAL(0, admits(WakeUp{}));
  const Stamp second = request();
  CHECK_EQUAL(1, admits(grant(second, 0, tag(10.0))));
  CHECK_EQUAL(0, admits(grant(second, 1, tag(10.0))));
  CHECK_EQUAL(0, admits(limits(8.0)));
  CHECK_EQUAL(0, admits(CallArrived{5, "workspace"}));
  CHECK_EQUAL(0, admits(grant(second, 2, tag(10.0))));
  CHECK_EQUAL(1, admits(grant(second, 3, tag(8.0))));
  // As holder: a stamp of an earlier process delegates nothing.
  CHECK_EQUAL(0,
              admits(PeerMessage{holder, CreditRequest{Stamp{99, now}, 2, Stamp{1234, now}, {}}}));
  CHECK_EQUAL(0U, quota.GetGauges().delegations);
  const Stamp own{MakeOptions(self).boot_id, now};
  CHECK_EQUAL(0,
              admits(PeerMessage{holder, CreditRequest{Stamp{99, now + Seconds(1)}, 2, own, {}}}));
  CHECK_EQUAL(1U, quota.GetGauges().delegations);
}

// Guards against a share that has two users: after a restart, when a holder is replaced, or when
// the others do not count a new node yet.
TEST(QuotaComponents, ShareHasOneUser) {
  const Options options = MakeOptions(0);
  utils::Random random(1);
  const Timestamp start(Seconds(1));
  for (const bool was_listed : {true, false}) {
    details::HolderSelection selection(options, random);
    selection.OnStarted(start);
    selection.SetCandidates({"first", "second", options.id}, start);
    selection.OnMembersListed(was_listed, start + Milliseconds(100));
    CHECK_EQUAL(2U, selection.Poll(start).size());
    selection.OnGrant("first", Stamp{7, Timestamp(Seconds(39))}, start);
    selection.OnGrant("second", Stamp{8, Timestamp(Seconds(50))}, start);
    Timestamp now = start + (was_listed ? Milliseconds(999) : Milliseconds(3099));
    selection.OnGrant("first", Stamp{7, Timestamp(Seconds(40))}, now);
    CHECK_FALSE(selection.OnRequest(now).has_value());
    now += Milliseconds(1);
    CHECK_TRUE(selection.OnRequest(now) == (Stamp{7, Timestamp(Seconds(40))}));
    // Another node may use the share only when the term of the received stamp is over.
    selection.OnPeerUnreachable("first", now);
    selection.Poll(now);
    selection.OnGrant("second", Stamp{8, Timestamp(Seconds(60))}, now);
    STRCMP_EQUAL("second", selection.Holder().c_str());
    now += Milliseconds(998);
    CHECK_FALSE(selection.OnRequest(now).has_value());
    selection.OnGrant("second", Stamp{8, Timestamp(Seconds(61))}, now);
    now += Milliseconds(1);
    CHECK_TRUE(selection.OnRequest(now) == (Stamp{8, Timestamp(Seconds(61))}));
  }
}

// Guards against buckets that hold more than their share: credit on its way to other holders, a
// claim that outlasts its term, and a bucket that is full although its holder has just started.
TEST(QuotaComponents, BucketsHoldAtMostTheirShare) {
  const Options options = MakeOptions(0);
  const Limit limit{100.0, 100.0};
  details::Claims claims(options);
  Timestamp now(Seconds(10));
  claims.Advance(now, 2);
  claims.Renew("a", now - Milliseconds(400), now);
  details::Bucket bucket(limit, options, claims);
  DOUBLES_EQUAL(0.0, bucket.Available(), 1e-9);
  now += Milliseconds(700);
  CHECK_TRUE(claims.Advance(now, 2));
  bucket.Refill(claims, now);
  // The claim ended after 600 ms, and without a share the bucket is empty.
  DOUBLES_EQUAL(0.3, claims.Integral(), 1e-9);
  DOUBLES_EQUAL(0.0, bucket.Available(), 1e-9);
  for (int i = 0; i < 50; ++i) {
    claims.Renew("a", now, now);
    now += Milliseconds(100);
    claims.Advance(now, 2);
  }
  bucket.Refill(claims, now);
  const double capacity = details::MaxCredit(limit, options) / 2.0;
  DOUBLES_EQUAL(capacity, bucket.Available(), 1e-9);
  DOUBLES_EQUAL(capacity, details::Bucket(limit, options, claims).Available(), 1e-9);
  // What was given away is replaced only after the lifetime of a transfer.
  bucket.Give(capacity, now);
  now += Milliseconds(199);
  claims.Advance(now, 2);
  bucket.Refill(claims, now);
  DOUBLES_EQUAL(0.0, bucket.Available(), 1e-9);
  // What was received counts like own credit when the giver no longer holds it.
  bucket.Receive(2.0 * capacity, now + Milliseconds(10));
  DOUBLES_EQUAL(2.0 * capacity, bucket.Available(), 1e-9);
  now += Milliseconds(10);
  claims.Advance(now, 2);
  bucket.Refill(claims, now);
  DOUBLES_EQUAL(capacity, bucket.Available(), 1e-9);
  // What was received under a higher limit is void.
  bucket.Receive(capacity, now + Milliseconds(100));
  const Limit lower{100.0, 10.0};
  bucket.SetLimit(lower, claims);
  DOUBLES_EQUAL(details::MaxCredit(lower, options) / 2.0, bucket.Available(), 1e-9);
}

// Guards against credit of transfers that come late, twice, from another holder, or for another
// process.
TEST(QuotaComponents, TransfersAreAcceptedOnceAndInTime) {
  const Options options = MakeOptions(0);
  utils::Random random(1);
  details::TransferRounds rounds(options, random);
  rounds.SetGroups({{"a"}, {"b"}});
  const std::vector<details::Surplus> surplus;
  std::vector<Effect> effects;
  Timestamp now(Seconds(1));
  rounds.Ask({{"workspace", 4.0, true, &surplus}}, 5, now, effects);
  CHECK_EQUAL(2U, effects.size());
  const Stamp stamp = std::get<TransferRequest>(std::get<SendMessage>(effects[0]).message).sent;
  const auto accepted = [&](const membership::NodeId& from, const Stamp& echo) {
    return rounds.OnTransfer(from, Transfer{echo, 5, {}, {{"workspace", 2000, 0, 1}}}, now).size();
  };
  CHECK_EQUAL(0U, accepted("c", stamp));
  CHECK_EQUAL(0U, accepted("a", Stamp{stamp.boot_id + 1, stamp.time}));
  CHECK_EQUAL(1U, accepted("a", stamp));
  CHECK_EQUAL(0U, accepted("a", stamp));
  CHECK_TRUE(rounds.TakeEnded(now).empty());
  now += Milliseconds(200);
  CHECK_EQUAL(0U, accepted("b", stamp));
}

}  // namespace amaranthlatch::quota
