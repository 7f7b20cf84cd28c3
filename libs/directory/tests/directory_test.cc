// Tests of the directory reducer against a register that the test plays.

#include "amaranthlatch/directory/directory.h"

#include <CppUTest/TestHarness.h>

#include <compare>
#include <optional>
#include <set>
#include <utility>
#include <variant>

#include "amaranthlatch/utils/random.h"
#include "configuration_fixture.h"
#include "property_test.h"

namespace amaranthlatch::directory::testing {

using membership::Member;
using membership::MemberState;
using utils::Milliseconds;
using utils::Seconds;

namespace {

Options MakeOptions() {
  Options options;
  options.id = "10.0.0.1:1";
  options.region = "north";
  options.zone = "ondangwa";
  options.data_address = "10.0.0.1:2";
  options.boot_id = 77;
  options.seed = 1;
  return options;
}

Member MakeMember(const std::string& id, std::uint64_t incarnation, MemberState state) {
  Member member;
  member.id = id;
  member.region = "north";
  member.zone = "oshakati";
  member.service = "fleet";
  member.slots = 6;
  member.incarnation = incarnation;
  member.boot_id = 5;
  member.state = state;
  return member;
}

}  // namespace

TEST_GROUP(Directory) {
  Directory directory = *Directory::Create(MakeOptions());
  utils::Timestamp now{Seconds(100)};
  std::vector<Effect> last;

  void Give(const Event& event) {
    for (Effect& effect : this->directory.Reduce(event, this->now)) {
      this->last.push_back(std::move(effect));
    }
  }
  void Pass(utils::Duration time) {
    const utils::Timestamp end = this->now + time;
    while (this->directory.NextWake() && *this->directory.NextWake() <= end) {
      this->now = std::max(this->now, *this->directory.NextWake());
      this->Give(WakeUp{});
    }
    this->now = end;
  }
  // The last effect of the kind since the one before was taken.
  template <typename T>
  std::optional<T> Take() {
    std::optional<T> found;
    std::erase_if(this->last, [&found](const Effect& effect) {
      if (const T* value = std::get_if<T>(&effect)) {
        found = *value;
        return true;
      }
      return false;
    });
    return found;
  }
  std::optional<ReadStream> TakeRead(Stream stream) {
    std::optional<ReadStream> found;
    std::erase_if(this->last, [&found, stream](const Effect& effect) {
      const auto* read = std::get_if<ReadStream>(&effect);
      if (read != nullptr && read->stream == stream) {
        found = *read;
        return true;
      }
      return false;
    });
    return found;
  }
  void Configure(document::Version version, Position next) {
    this->Give(StreamRead{Stream::kConfiguration, next, MakeConfiguration(version), {}});
  }
  void Begin() {
    this->Give(WakeUp{});
    this->Give(StreamRead{Stream::kMembers, 0, nullptr, {}});
  }
};

// Guards against a node that goes back to an older configuration, or applies one again.
TEST(Directory, VersionInForceNeverFalls) {
  this->Begin();
  POINTERS_EQUAL(nullptr, this->directory.Configuration().get());
  this->Configure(9, 3);
  this->Configure(7, 4);
  this->Configure(9, 5);
  CHECK_EQUAL(9, this->directory.Configuration()->GetVersion());
  CHECK_EQUAL(2, this->directory.GetCounters().configurations_stale);
  this->Configure(12, 6);
  CHECK_EQUAL(12, this->directory.Configuration()->GetVersion());
}

// Guards against a change that is missed between the listing of a stream and its following.
TEST(Directory, FollowsFromWhereTheListingEnded) {
  this->Give(WakeUp{});
  CHECK_FALSE(this->TakeRead(Stream::kConfiguration)->from.has_value());
  this->Configure(9, 3);
  const auto follow = this->TakeRead(Stream::kConfiguration);
  CHECK_TRUE(follow && follow->from == Position{3});
}

// Guards against a read for every change of a storm, and against a pause that outlives it.
TEST(Directory, ReadsCloseChangesTogether) {
  this->Begin();
  this->Configure(9, 3);
  this->TakeRead(Stream::kConfiguration);
  this->Configure(10, 4);
  CHECK_FALSE(this->TakeRead(Stream::kConfiguration).has_value());
  this->Pass(Milliseconds(699));
  CHECK_FALSE(this->TakeRead(Stream::kConfiguration).has_value());
  this->Pass(Milliseconds(1));
  CHECK_TRUE(this->TakeRead(Stream::kConfiguration).has_value());
}

// Guards against a configuration that stays behind because the answer to a waiting read was lost.
TEST(Directory, LostReadIsReplacedWhenOthersAreAhead) {
  this->Begin();
  this->Configure(9, 3);
  CHECK_TRUE(this->TakeRead(Stream::kConfiguration)->from.has_value());
  this->Give(NewerVersionSeen{9});
  this->Pass(Seconds(5));
  CHECK_FALSE(this->TakeRead(Stream::kConfiguration).has_value());
  this->Give(NewerVersionSeen{10});
  this->Pass(Milliseconds(500));
  this->Give(NewerVersionSeen{11});
  this->Pass(Milliseconds(499));
  CHECK_FALSE(this->TakeRead(Stream::kConfiguration).has_value());
  this->Pass(Milliseconds(1));
  const auto listing = this->TakeRead(Stream::kConfiguration);
  CHECK_TRUE(listing && !listing->from);
  CHECK_EQUAL(1, this->directory.GetCounters().reads_abandoned);
  CHECK_FALSE(this->Take<RegisterReachable>()->reachable);
  // A listing has a limit of its own.
  this->Pass(Seconds(5));
  CHECK_FALSE(this->TakeRead(Stream::kConfiguration).has_value());
  this->Configure(11, 5);
  CHECK_TRUE(this->Take<RegisterReachable>()->reachable);
  CHECK_TRUE(this->TakeRead(Stream::kConfiguration)->from.has_value());
  this->Pass(Seconds(5));
  CHECK_FALSE(this->TakeRead(Stream::kConfiguration).has_value());
}

// Guards against reads that are repeated while the node keeps pace with a storm of changes.
TEST(Directory, NodeThatKeepsPaceAbandonsNoRead) {
  this->Begin();
  this->Configure(9, 3);
  for (document::Version version = 10; version < 40; ++version) {
    this->Give(NewerVersionSeen{version});
    this->Pass(Milliseconds(900));
    this->Configure(version, version);
  }
  CHECK_EQUAL(0, this->directory.GetCounters().reads_abandoned);
}

// Guards against following from records that the register has dropped.
TEST(Directory, ListsAgainAfterTruncation) {
  this->Begin();
  this->Configure(9, 3);
  this->TakeRead(Stream::kConfiguration);
  this->Give(StreamReadFailed{Stream::kConfiguration, true, {}});
  this->Pass(Seconds(2));
  const auto read = this->TakeRead(Stream::kConfiguration);
  CHECK_TRUE(read && !read->from);
  CHECK_EQUAL(9, this->directory.Configuration()->GetVersion());
}

// Guards against a register in an outage that is asked ever faster, or no more.
TEST(Directory, FailedReadsAreRepeatedWithPauses) {
  this->Begin();
  int reads = 0;
  for (int i = 0; i < 1'000; ++i) {
    if (this->TakeRead(Stream::kConfiguration)) {
      ++reads;
      this->Give(StreamReadFailed{Stream::kConfiguration, false, {}});
    }
    this->Pass(Milliseconds(10));
  }
  // Ten seconds with pauses between half a second and one.
  CHECK_TRUE(reads >= 10 && reads <= 25);
  this->Configure(3, 1);
  CHECK_EQUAL(3, this->directory.Configuration()->GetVersion());
}

// Guards against a record that is written before the backend server is known, and one whose
// incarnation does not exceed that of the process before.
TEST(Directory, OwnRecordReplacesThatOfThePredecessor) {
  this->Give(WakeUp{});
  this->Give(BackendServerReady{"fleet", {}, 6});
  this->Configure(9, 1);
  CHECK_FALSE(this->Take<WriteMember>().has_value());
  Member old = MakeMember("10.0.0.1:1", 41, MemberState::kReady);
  this->Give(StreamRead{Stream::kMembers, 1, nullptr, {old}});
  const auto write = this->Take<WriteMember>();
  CHECK_TRUE(write.has_value());
  CHECK_TRUE(write->member.incarnation > 41);
  CHECK_TRUE(write->member.state == MemberState::kReady);
  CHECK_EQUAL(77, write->member.boot_id);
}

// Guards against a record of a predecessor that was executed late and stays the newest.
TEST(Directory, LateWriteOfThePredecessorIsReplaced) {
  this->Begin();
  this->Configure(9, 1);
  this->Give(BackendServerReady{"fleet", {}, 6});
  const Member first = this->Take<WriteMember>()->member;
  this->Give(MemberWriteEnded{true});
  this->Give(StreamRead{Stream::kMembers, 2, nullptr, {first}});
  CHECK_FALSE(this->Take<WriteMember>().has_value());
  const Member late = MakeMember("10.0.0.1:1", 60, MemberState::kReady);
  this->Give(StreamRead{Stream::kMembers, 3, nullptr, {late}});
  const auto again = this->Take<WriteMember>();
  CHECK_TRUE(again && again->member.incarnation > 60);
}

// Guards against a leaving backend server that stays listed, and one that cannot come back.
TEST(Directory, DrainAndReturnAreWritten) {
  this->Begin();
  this->Configure(9, 1);
  this->Give(BackendServerReady{"fleet", {}, 6});
  const Member ready = this->Take<WriteMember>()->member;
  this->Give(MemberWriteEnded{true});
  this->Give(BackendServerGone{});
  const Member gone = this->Take<WriteMember>()->member;
  CHECK_TRUE(gone.state == MemberState::kDraining);
  this->Give(MemberWriteEnded{true});
  this->Give(BackendServerReady{"fleet", {}, 6});
  const Member back = this->Take<WriteMember>()->member;
  CHECK_TRUE(back.state == MemberState::kReady);
  CHECK_TRUE(std::is_gt(membership::ComparePrecedence(gone, ready)));
  CHECK_TRUE(std::is_gt(membership::ComparePrecedence(back, gone)));
}

// Guards against a write whose outcome is unknown and that is not repeated, or a second one beside
// it.
TEST(Directory, FailedWriteIsRepeatedWithTheNewestRecord) {
  this->Begin();
  this->Configure(9, 1);
  this->Give(BackendServerReady{"fleet", {}, 6});
  CHECK_TRUE(this->Take<WriteMember>().has_value());
  this->Give(BackendServerGone{});
  CHECK_FALSE(this->Take<WriteMember>().has_value());
  this->Give(MemberWriteEnded{false});
  this->Pass(Seconds(2));
  const auto again = this->Take<WriteMember>();
  CHECK_TRUE(again && again->member.state == MemberState::kDraining);
}

// Guards against members that go back to an earlier state when records come late or in any order.
TEST(Directory, MembersNeverGoBack) {
  CHECK_TRUE(HoldsProperty(1, 100, [] {
    auto tested = *Directory::Create(MakeOptions());
    utils::Random random(*rc::gen::arbitrary<std::uint64_t>());
    std::optional<Member> highest;
    for (int i = 0; i < 40; ++i) {
      Member member =
          MakeMember("10.0.0.2:1", 1 + random.Uniform(5), static_cast<MemberState>(random.Uniform(4)));
      member.boot_id = 1 + random.Uniform(3);
      tested.Reduce(StreamRead{Stream::kMembers, 1, nullptr, {member}}, utils::Timestamp{});
      if (!highest || std::is_gt(membership::ComparePrecedence(member, *highest))) {
        highest = member;
      }
    }
    const Member* known = tested.Members().Find("10.0.0.2:1");
    RC_ASSERT(known != nullptr);
    const bool is_highest = std::is_eq(membership::ComparePrecedence(*known, *highest));
    RC_ASSERT(is_highest);
  }));
}

}  // namespace amaranthlatch::directory::testing
