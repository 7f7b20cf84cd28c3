// Encodes membership messages and decodes them with strict type and size checks.

#include "amaranthlatch/membership/message_codec.h"

#include <algorithm>
#include <array>
#include <limits>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace amaranthlatch::membership {

namespace {

using nlohmann::json;
using utils::ErrorCode;
using utils::Fail;
using utils::Result;

constexpr std::size_t kMaxNameBytes = 128;
constexpr char kAsciiDelete = '\x7f';
constexpr std::size_t kMaxLabels = 32;
constexpr std::size_t kMaxLabelBytes = 256;
constexpr std::size_t kMaxMembers = 256;
constexpr std::size_t kMaxZones = 1024;
constexpr std::size_t kMemberFieldCount = 10;
// Leaves room to increase an incarnation indefinitely: wall times in ms are far below this limit.
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 62;

// Type number of a message in its encoding: its index in the variant.
template <typename T, std::size_t I = 0>
constexpr std::size_t TypeIndex() {
  if constexpr (std::is_same_v<std::variant_alternative_t<I, Message>, T>) {
    return I;
  } else {
    return TypeIndex<T, I + 1>();
  }
}

// Whether `text` is valid UTF-8, which the JSON library can serialize.
bool IsUtf8(const std::string& text) {
  if (std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c < kAsciiDelete; })) {
    return true;
  }
  // The library validates strings only when it serializes them.
  const std::string written = json(text).dump(-1, ' ', false, json::error_handler_t::ignore);
  return json::parse(written).get_ref<const std::string&>() == text;
}

json EncodeMembers(const std::vector<Member>& members) {
  json list = json::array();
  for (const Member& member : members) {
    list.push_back(ToJson(member));
  }
  return list;
}

template <typename T, typename... Fields>
json Encode(Fields&&... fields) {
  json list = json::array();
  list.push_back(TypeIndex<T>());
  (list.push_back(std::forward<Fields>(fields)), ...);
  return list;
}

json EncodeMessage(const Probe& message) {
  return Encode<Probe>(message.sequence, message.digests);
}
json EncodeMessage(const ProbeAck& message) {
  return Encode<ProbeAck>(message.sequence, message.digests);
}
json EncodeMessage(const IndirectProbe& message) {
  return Encode<IndirectProbe>(message.sequence, message.target);
}
json EncodeMessage(const MemberUpdates& message) {
  return Encode<MemberUpdates>(EncodeMembers(message.members), message.hops_left);
}
json EncodeMessage(const JoinRequest& message) {
  return Encode<JoinRequest>(ToJson(message.member));
}
json EncodeMessage(const JoinReply& message) {
  return Encode<JoinReply>(message.known_incarnation, EncodeMembers(message.members), message.page,
                           message.page_count);
}
json EncodeMessage(const ZoneRecordsRequest& message) {
  return Encode<ZoneRecordsRequest>(message.zone);
}
json EncodeMessage(const ZoneRecords& message) {
  return Encode<ZoneRecords>(message.zone, EncodeMembers(message.members), message.page,
                             message.page_count);
}

// Names appear in JSON responses and log lines, which must not contain invalid UTF-8 or control
// characters.
bool IsValidName(const std::string& text) {
  return text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < kAsciiDelete; });
}

// Label keys and values may be any valid UTF-8.
bool IsValidLabelText(const std::string& text) {
  return text.size() <= kMaxLabelBytes && IsUtf8(text);
}

// Reads the fields of an array and keeps the first error.
class ArrayReader {
 public:
  ArrayReader(const json& list, ErrorCode code) : list(list), code(code) {}

  bool HasFields(std::size_t count) const {
    return this->list.is_array() && this->list.size() == count;
  }

  std::uint64_t ReadUint64(std::size_t field, std::uint64_t max) {
    const json& value = this->list[field];
    if (!value.is_number_unsigned()) {
      return this->Reject<std::uint64_t>(field, "expected an unsigned integer");
    }
    const auto number = value.get<std::uint64_t>();
    return number <= max ? number
                         : this->Reject<std::uint64_t>(field, "integer exceeds its maximum");
  }

  std::uint32_t ReadUint32(std::size_t field) {
    return static_cast<std::uint32_t>(
        this->ReadUint64(field, std::numeric_limits<std::uint32_t>::max()));
  }

  std::string ReadName(std::size_t field, bool may_be_empty) {
    const json& value = this->list[field];
    if (!value.is_string()) {
      return this->Reject<std::string>(field, "expected a string");
    }
    const auto& text = value.get_ref<const std::string&>();
    if (!IsValidName(text) || (text.empty() && !may_be_empty)) {
      return this->Reject<std::string>(
          field, "name is empty, too long or not printable ASCII without spaces");
    }
    return text;
  }

  std::map<std::string, std::string> ReadLabels(std::size_t field) {
    using LabelMap = std::map<std::string, std::string>;
    const json& value = this->list[field];
    if (!value.is_object() || value.size() > kMaxLabels) {
      return this->Reject<LabelMap>(field, "expected an object with a limited number of labels");
    }
    LabelMap labels;
    for (const auto& [key, text] : value.items()) {
      if (!text.is_string() || !IsValidLabelText(key) ||
          !IsValidLabelText(text.get_ref<const std::string&>())) {
        return this->Reject<LabelMap>(field, "label is too long or not a UTF-8 string");
      }
      labels.emplace(key, text.get<std::string>());
    }
    return labels;
  }

  ZoneDigests ReadDigests(std::size_t field) {
    const json& value = this->list[field];
    if (!value.is_object() || value.size() > kMaxZones) {
      return this->Reject<ZoneDigests>(field,
                                       "expected an object with a limited number of zone digests");
    }
    ZoneDigests digests;
    for (const auto& [zone, digest] : value.items()) {
      if (!IsValidName(zone) || !digest.is_number_unsigned()) {
        return this->Reject<ZoneDigests>(
            field, "zone name is invalid or digest is not an unsigned integer");
      }
      digests.emplace(zone, digest.get<std::uint64_t>());
    }
    return digests;
  }

  Member ReadMember(std::size_t field) {
    auto member = MemberFromJson(this->list[field]);
    if (!member) {
      this->RecordError(member.error());
      return {};
    }
    return *std::move(member);
  }

  std::vector<Member> ReadMembers(std::size_t field) {
    const json& value = this->list[field];
    if (!value.is_array() || value.size() > kMaxMembers) {
      return this->Reject<std::vector<Member>>(
          field, "expected an array with a limited number of member records");
    }
    std::vector<Member> members;
    members.reserve(value.size());
    for (const json& item : value) {
      auto member = MemberFromJson(item);
      if (!member) {
        this->RecordError(member.error());
        return {};
      }
      members.push_back(*std::move(member));
    }
    return members;
  }

  template <typename T>
  Result<T> Finish(T value) {
    if (this->error.code != ErrorCode::kOk) {
      return tl::unexpected<utils::Error>(this->error);
    }
    return value;
  }

 private:
  template <typename T>
  T Reject(std::size_t field, const char* text) {
    this->RecordError(utils::Error{this->code, text, "/" + std::to_string(field)});
    return T{};
  }

  void RecordError(const utils::Error& failure) {
    if (this->error.code == ErrorCode::kOk) {
      this->error = failure;
    }
  }

  const json& list;
  ErrorCode code;
  utils::Error error;
};

constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();

Message DecodeFields(ArrayReader& reader, std::type_identity<Probe> /*type*/) {
  return Probe{reader.ReadUint64(1, kMaxUint64), reader.ReadDigests(2)};
}
Message DecodeFields(ArrayReader& reader, std::type_identity<ProbeAck> /*type*/) {
  return ProbeAck{reader.ReadUint64(1, kMaxUint64), reader.ReadDigests(2)};
}
Message DecodeFields(ArrayReader& reader, std::type_identity<IndirectProbe> /*type*/) {
  return IndirectProbe{reader.ReadUint64(1, kMaxUint64), reader.ReadName(2, false)};
}
Message DecodeFields(ArrayReader& reader, std::type_identity<MemberUpdates> /*type*/) {
  return MemberUpdates{reader.ReadMembers(1), reader.ReadUint32(2)};
}
Message DecodeFields(ArrayReader& reader, std::type_identity<JoinRequest> /*type*/) {
  return JoinRequest{reader.ReadMember(1)};
}
Message DecodeFields(ArrayReader& reader, std::type_identity<JoinReply> /*type*/) {
  return JoinReply{reader.ReadUint64(1, kMaxIncarnation), reader.ReadMembers(2),
                   reader.ReadUint32(3), reader.ReadUint32(4)};
}
Message DecodeFields(ArrayReader& reader, std::type_identity<ZoneRecordsRequest> /*type*/) {
  return ZoneRecordsRequest{reader.ReadName(1, false)};
}
Message DecodeFields(ArrayReader& reader, std::type_identity<ZoneRecords> /*type*/) {
  return ZoneRecords{reader.ReadName(1, false), reader.ReadMembers(2), reader.ReadUint32(3),
                     reader.ReadUint32(4)};
}

// Number of array elements of each message type, in the order of the variant.
constexpr std::array<std::size_t, std::variant_size_v<Message>> kFieldCounts = {3, 3, 3, 3,
                                                                                2, 5, 2, 5};

template <std::size_t I = 0>
Result<Message> DecodeType(std::size_t type, const json& list) {
  if constexpr (I == std::variant_size_v<Message>) {
    return Fail(ErrorCode::kMessageMalformed, "unknown membership message type");
  } else {
    if (type != I) {
      return DecodeType<I + 1>(type, list);
    }
    ArrayReader reader(list, ErrorCode::kMessageMalformed);
    if (!reader.HasFields(kFieldCounts[I])) {
      return Fail(ErrorCode::kMessageMalformed,
                  "membership message has the wrong number of fields");
    }
    Message message =
        DecodeFields(reader, std::type_identity<std::variant_alternative_t<I, Message>>{});
    return reader.Finish(std::move(message));
  }
}

}  // namespace

json ToJson(const Member& member) {
  return json::array({member.id, member.region, member.zone, member.service, json(member.labels),
                      member.data_address, member.incarnation, member.boot_id,
                      static_cast<std::uint32_t>(member.state), member.slots});
}

Result<Member> MemberFromJson(const json& json) {
  ArrayReader reader(json, ErrorCode::kMemberMalformed);
  if (!reader.HasFields(kMemberFieldCount)) {
    return Fail(ErrorCode::kMemberMalformed,
                "member record is not an array with the expected number of fields");
  }
  Member member;
  member.id = reader.ReadName(0, false);
  member.region = reader.ReadName(1, false);
  member.zone = reader.ReadName(2, false);
  member.service = reader.ReadName(3, true);
  member.labels = reader.ReadLabels(4);
  member.data_address = reader.ReadName(5, true);
  member.incarnation = reader.ReadUint64(6, kMaxIncarnation);
  member.boot_id = reader.ReadUint64(7, kMaxUint64);
  member.state = static_cast<MemberState>(
      reader.ReadUint64(8, static_cast<std::uint64_t>(MemberState::kDead)));
  member.slots = reader.ReadUint32(9);
  return reader.Finish(std::move(member));
}

json ToJson(const Message& message) {
  return std::visit([](const auto& value) { return EncodeMessage(value); }, message);
}

Result<Message> MessageFromJson(const json& json) {
  if (!json.is_array() || json.empty() || !json[0].is_number_unsigned()) {
    return Fail(ErrorCode::kMessageMalformed,
                "membership message is not an array that starts with a type number");
  }
  return DecodeType(json[0].get<std::size_t>(), json);
}

}  // namespace amaranthlatch::membership
