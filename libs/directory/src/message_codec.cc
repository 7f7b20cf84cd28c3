// Encodes directory messages and decodes them with strict type and size checks.

#include "amaranthlatch/directory/message_codec.h"

#include <cstddef>
#include <map>
#include <utility>

#include "amaranthlatch/utils/cbor.h"

namespace amaranthlatch::directory {

namespace {

using membership::Member;
using membership::MemberState;
using utils::CborReader;
using utils::CborWriter;
using utils::ErrorCode;

enum class MessageType : std::uint8_t {
  kUpdateRequest = 1,
  kUpdate = 2,
  kReaderNotice = 3,
  kVersionNotice = 4,
  kConfigurationRequest = 5,
  kConfirmation = 6,
};

// Size limits; a message that exceeds one is rejected.
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxLabels = 64;
constexpr std::size_t kMaxMembers = 100'000;
constexpr std::size_t kMaxChangeBytes = std::size_t{16} * 1024 * 1024;

constexpr std::size_t kMaxOrders = 10'000;
constexpr std::uint64_t kMaxTimeUs = 1ULL << 52U;

constexpr std::size_t kMemberFields = 10;
constexpr std::size_t kOrderFields = 4;
// Without the orders.
constexpr std::size_t kUpdateRequestFields = 5;
constexpr std::size_t kUpdateFields = 8;

void Write(CborWriter& out, const Member& member) {
  out.Array(kMemberFields).Text(member.id).Text(member.region).Text(member.zone);
  out.Text(member.service).Array(2 * member.labels.size());
  for (const auto& [name, value] : member.labels) {
    out.Text(name).Text(value);
  }
  out.Text(member.data_address).Number(member.incarnation).Number(member.boot_id);
  out.Number(static_cast<std::uint64_t>(member.state)).Number(member.slots);
}

Member ReadMember(CborReader& in) {
  const auto text = [&in] { return std::string(in.Text(kMaxNameBytes)); };
  Member member;
  in.ExpectArray(kMemberFields);
  member.id = text();
  member.region = text();
  member.zone = text();
  member.service = text();
  const std::size_t label_texts = in.ArraySize(2 * kMaxLabels);
  if (label_texts % 2 != 0) {
    in.FailWith(ErrorCode::kMessageMalformed);
  }
  for (std::size_t i = 0; i < label_texts / 2 && !in.Error(); ++i) {
    std::string name = text();
    member.labels[std::move(name)] = text();
  }
  member.data_address = text();
  member.incarnation = in.Number();
  member.boot_id = in.Number();
  member.state =
      static_cast<MemberState>(in.Number(static_cast<std::uint64_t>(MemberState::kDead)));
  member.slots = in.Number32();
  return member;
}

void Write(CborWriter& out, const RolloutOrder& order) {
  out.Array(kOrderFields).Text(order.service).Text(order.target_version);
  out.Number(static_cast<std::uint64_t>(order.duration.count())).Number(order.position);
}

RolloutOrder ReadOrder(CborReader& in) {
  RolloutOrder order;
  in.ExpectArray(kOrderFields);
  order.service = std::string(in.Text(kMaxNameBytes));
  order.target_version = std::string(in.Text(kMaxNameBytes));
  order.duration = utils::Duration(static_cast<std::int64_t>(in.Number(kMaxTimeUs)));
  order.position = in.Number();
  return order;
}

void Write(CborWriter& out, const UpdateRequest& m) {
  // Fields that no rollout needs are left out, so that earlier builds read the message.
  const bool has_orders = m.orders_end != 0;
  out.Array(has_orders ? kUpdateRequestFields + 1 : kUpdateRequestFields);
  out.Number(static_cast<std::uint64_t>(MessageType::kUpdateRequest)).Number(m.version);
  out.Number(m.members.boot_id).Number(m.members.sequence).Flag(m.insist);
  if (has_orders) {
    out.Number(m.orders_end);
  }
}

void Write(CborWriter& out, const Update& m) {
  out.Array(m.orders.empty() ? kUpdateFields : kUpdateFields + 1);
  out.Number(static_cast<std::uint64_t>(MessageType::kUpdate)).Flag(m.healthy);
  out.Number(m.version).Bytes(m.configuration);
  out.Number(m.members_since)
      .Number(m.members_until.boot_id)
      .Number(m.members_until.sequence)
      .Array(m.members.size());
  for (const Member& member : m.members) {
    Write(out, member);
  }
  if (!m.orders.empty()) {
    out.Array(m.orders.size());
    for (const RolloutOrder& order : m.orders) {
      Write(out, order);
    }
  }
}

void Write(CborWriter& out, const ReaderNotice& m) {
  out.Array(2).Number(static_cast<std::uint64_t>(MessageType::kReaderNotice)).Text(m.reader);
}

void Write(CborWriter& out, const VersionNotice& m) {
  out.Array(3).Number(static_cast<std::uint64_t>(MessageType::kVersionNotice));
  out.Number(m.version).Text(m.node);
}

void Write(CborWriter& out, const ConfigurationRequest& m) {
  out.Array(2).Number(static_cast<std::uint64_t>(MessageType::kConfigurationRequest));
  out.Number(m.version);
}

void Write(CborWriter& out, const Confirmation& m) {
  out.Array(4).Number(static_cast<std::uint64_t>(MessageType::kConfirmation));
  out.Number(m.version).Number(m.age_ms).Flag(m.forwarded);
}

Message ReadUpdateRequest(CborReader& in, std::size_t size) {
  UpdateRequest m;
  m.version = in.Number();
  m.members.boot_id = in.Number();
  m.members.sequence = in.Number();
  m.insist = in.Flag();
  m.orders_end = size > kUpdateRequestFields ? in.Number() : 0;
  return m;
}

Message ReadUpdate(CborReader& in, std::size_t size) {
  Update m;
  m.healthy = in.Flag();
  m.version = in.Number();
  m.configuration = std::string(in.Bytes(kMaxChangeBytes));
  m.members_since = in.Number();
  m.members_until.boot_id = in.Number();
  m.members_until.sequence = in.Number();
  const std::size_t members = in.ArraySize(kMaxMembers);
  for (std::size_t i = 0; i < members && !in.Error(); ++i) {
    m.members.push_back(ReadMember(in));
  }
  const std::size_t orders = size > kUpdateFields ? in.ArraySize(kMaxOrders) : 0;
  for (std::size_t i = 0; i < orders && !in.Error(); ++i) {
    m.orders.push_back(ReadOrder(in));
  }
  return m;
}

Message ReadReaderNotice(CborReader& in, std::size_t /*size*/) {
  return ReaderNotice{std::string(in.Text(kMaxNameBytes))};
}

Message ReadVersionNotice(CborReader& in, std::size_t /*size*/) {
  VersionNotice m;
  m.version = in.Number();
  m.node = std::string(in.Text(kMaxNameBytes));
  return m;
}

Message ReadConfigurationRequest(CborReader& in, std::size_t /*size*/) {
  return ConfigurationRequest{in.Number()};
}

Message ReadConfirmation(CborReader& in, std::size_t /*size*/) {
  Confirmation m;
  m.version = in.Number();
  m.age_ms = in.Number();
  m.forwarded = in.Flag();
  return m;
}

struct Layout {
  // Smallest and largest number of elements of the array, with the type.
  std::size_t min_size = 0;
  std::size_t max_size = 0;
  Message (*read)(CborReader&, std::size_t size) = nullptr;
};

std::optional<Layout> LayoutOf(std::uint64_t type) {
  switch (static_cast<MessageType>(type)) {
    case MessageType::kUpdateRequest:
      return Layout{kUpdateRequestFields, kUpdateRequestFields + 1, &ReadUpdateRequest};
    case MessageType::kUpdate:
      return Layout{kUpdateFields, kUpdateFields + 1, &ReadUpdate};
    case MessageType::kReaderNotice:
      return Layout{2, 2, &ReadReaderNotice};
    case MessageType::kVersionNotice:
      return Layout{3, 3, &ReadVersionNotice};
    case MessageType::kConfigurationRequest:
      return Layout{2, 2, &ReadConfigurationRequest};
    case MessageType::kConfirmation:
      return Layout{4, 4, &ReadConfirmation};
  }
  return std::nullopt;
}

}  // namespace

std::string ToCbor(const Message& message) {
  std::string bytes;
  CborWriter out(bytes);
  std::visit([&out](const auto& m) { Write(out, m); }, message);
  return bytes;
}

utils::Result<Message> MessageFromCbor(std::string_view bytes) {
  constexpr std::size_t kMaxFields = 16;
  const auto fail = [](ErrorCode code) {
    return utils::Fail(code, "directory message has a missing, extra or invalid field");
  };
  CborReader in(bytes);
  const std::size_t size = in.ArraySize(kMaxFields);
  const auto layout = LayoutOf(in.Number(UINT8_MAX));
  if (in.Error() || !layout || size < layout->min_size || size > layout->max_size) {
    return fail(ErrorCode::kMessageMalformed);
  }
  Message message = layout->read(in, size);
  if (in.Error()) {
    return fail(*in.Error());
  }
  if (!in.AtEnd()) {
    return fail(ErrorCode::kMessageMalformed);
  }
  return message;
}

}  // namespace amaranthlatch::directory
