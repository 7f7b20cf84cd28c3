// Tests of the membership message codec.

#include "amaranthlatch/membership/message_codec.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <limits>
#include <string>
#include <vector>

#include "property_test.h"

namespace amaranthlatch::membership {

namespace {

rc::Gen<Member> AnyMember() {
  const auto number = rc::gen::inRange<std::uint64_t>(0, std::uint64_t{1} << 62);
  const auto name = rc::gen::element<std::string>("10.0.0.1:4000", "zone-1", "x");
  return rc::gen::build<Member>(
      rc::gen::set(&Member::id, name), rc::gen::set(&Member::region, name),
      rc::gen::set(&Member::zone, name), rc::gen::set(&Member::service, name),
      rc::gen::set(&Member::labels,
                   rc::gen::elementOf(std::vector<std::map<std::string, std::string>>{
                       {}, {{"a", "1"}}, {{"a", "1"}, {"b", "Oshakati \xc3\xa9"}}})),
      rc::gen::set(&Member::incarnation, number), rc::gen::set(&Member::boot_id),
      rc::gen::set(&Member::state, rc::gen::element(MemberState::kJoining, MemberState::kReady,
                                                    MemberState::kDraining, MemberState::kLeft,
                                                    MemberState::kDead)),
      rc::gen::set(&Member::slots));
}

rc::Gen<Message> AnyMessage() {
  return rc::gen::exec([]() -> Message {
    const auto members = *rc::gen::container<std::vector<Member>>(AnyMember());
    const auto number = *rc::gen::arbitrary<std::uint64_t>();
    const auto page = *rc::gen::arbitrary<std::uint32_t>();
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        return Probe{number, {{"", number}, {"zone-1", 1}}};
      case 1:
        return ProbeAck{number, {}};
      case 2:
        return IndirectProbe{number, "10.0.0.2:4000"};
      case 3:
        return MemberUpdates{members, page};
      case 4:
        return JoinRequest{*AnyMember()};
      case 5:
        return JoinReply{number >> 2, members, page, page};
      case 6:
        return ZoneRecordsRequest{"zone-1"};
      default:
        return ZoneRecords{"zone-1", members, page, page};
    }
  });
}

// The node parses CBOR with document::ParseCbor, so invalid CBOR is irrelevant here. The library
// throws for sizes above the address space even if exceptions are disabled.
nlohmann::json Parse(const std::vector<std::uint8_t>& bytes) {
  try {
    return nlohmann::json::from_cbor(bytes);
  } catch (const nlohmann::json::exception&) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
}

}  // namespace

TEST_GROUP(MessageCodec){};

// Guards against fields that are lost or changed by encoding and decoding.
TEST(MessageCodec, MessagesRoundTripThroughCbor) {
  CHECK_TRUE(HoldsProperty(11, 500, [] {
    const Message message = *AnyMessage();
    const auto bytes = nlohmann::json::to_cbor(ToJson(message));
    const auto decoded = MessageFromJson(nlohmann::json::from_cbor(bytes));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == message);
  }));
}

// Guards against crashes and partially decoded messages: a corrupted message must yield an error
// code or a valid message.
TEST(MessageCodec, CorruptedMessagesAreRejectedOrValid) {
  CHECK_TRUE(HoldsProperty(12, 3'000, [] {
    auto bytes = nlohmann::json::to_cbor(ToJson(*AnyMessage()));
    const int changes = *rc::gen::inRange(1, 4);
    for (int i = 0; i < changes; ++i) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<std::uint8_t>();
    }
    const auto json = Parse(bytes);
    if (json.is_discarded()) {
      return;
    }
    const auto decoded = MessageFromJson(json);
    if (decoded) {
      // An accepted message can be encoded again and printed as text.
      RC_ASSERT(*MessageFromJson(ToJson(*decoded)) == *decoded);
      RC_ASSERT(!ToJson(*decoded).dump().empty());
    } else {
      RC_ASSERT(decoded.error().code == utils::ErrorCode::kMessageMalformed ||
                decoded.error().code == utils::ErrorCode::kMemberMalformed);
    }
  }));
}

// Guards against messages that use unlimited memory, and against an incarnation that cannot be
// increased further.
TEST(MessageCodec, LimitsAreEnforced) {
  Member member;
  member.id = "10.0.0.1:4000";
  member.region = member.zone = "z";
  CHECK_TRUE(MemberFromJson(ToJson(member)).has_value());
  const auto refused = [&member](auto change) {
    Member changed = member;
    change(changed);
    const auto result = MemberFromJson(ToJson(changed));
    return !result && result.error().code == utils::ErrorCode::kMemberMalformed;
  };
  CHECK_TRUE(refused([](Member& m) { m.id.clear(); }));
  CHECK_TRUE(refused([](Member& m) { m.zone = std::string(129, 'z'); }));
  CHECK_TRUE(refused([](Member& m) { m.service = "a b"; }));
  CHECK_TRUE(refused([](Member& m) { m.labels["k"] = std::string(257, 'v'); }));
  CHECK_TRUE(refused([](Member& m) { m.labels["k"] = "\xff"; }));
  CHECK_TRUE(refused([](Member& m) { m.incarnation = std::numeric_limits<std::uint64_t>::max(); }));
  CHECK_FALSE(MessageFromJson(ToJson(Message(MemberUpdates{{300, member}, 0}))).has_value());
  CHECK_FALSE(MessageFromJson(nlohmann::json::array({99})).has_value());
  CHECK_FALSE(
      MessageFromJson(nlohmann::json::array({0, -1, nlohmann::json::object()})).has_value());
}

}  // namespace amaranthlatch::membership
