// Strict decoding of distribution messages with bounded field sizes.

#include "amaranthlatch/distribution/message_codec.h"

#include <type_traits>
#include <utility>

namespace amaranthlatch::distribution {

namespace {

using nlohmann::json;

// First element of an encoded message. Numbers of removed messages are never reused.
enum class MessageType : std::uint8_t {
  kEntriesPush = 1,
  kEntriesAck = 2,
  kDigest = 3,
  kEntriesRequest = 4,
  kSnapshotRequest = 5,
  kSnapshotChunk = 6,
  kSnapshotRetryLater = 7,
  kReaderHeartbeat = 8,
  kHeldQuery = 9,
  kHeldReply = 10,
};

// Entries per push. A push is limited to 256 KiB, and the smallest record takes more than 64 bytes.
constexpr std::size_t kMaxPushEntries = 4'096;
// Twice the chunk size of this release, so that a later release can raise it.
constexpr std::size_t kMaxChunkBytes = std::size_t{96} << 10U;
constexpr std::uint32_t kMaxChunks = 4'096;
constexpr std::size_t kMaxReplyMembers = 4'096;
constexpr std::size_t kMaxNodeIdBytes = 64;
constexpr std::uint64_t kMaxUint32 = 0xFFFFFFFFU;

json Encode(MessageType type, std::initializer_list<json> fields) {
  json result = json::array({static_cast<std::uint8_t>(type)});
  for (const json& field : fields) {
    result.push_back(field);
  }
  return result;
}

json ToJson(const EntriesPush& push) {
  json entries = json::array();
  for (const Entry& entry : push.entries) {
    // Offsets are implied by the position because a push has no gaps.
    entries.push_back(json::array({entry.record, entry.patch_base, entry.record_hash}));
  }
  return Encode(MessageType::kEntriesPush,
                {push.previous, std::move(entries), push.holder_count, push.token});
}

json ToJson(const EntriesAck& ack) { return Encode(MessageType::kEntriesAck, {ack.held}); }

json ToJson(const Digest& digest) {
  return Encode(MessageType::kDigest, {digest.held, digest.hash});
}

json ToJson(const EntriesRequest& request) {
  return Encode(MessageType::kEntriesRequest, {request.held, request.full_records, request.token});
}

json ToJson(const SnapshotRequest& request) {
  return Encode(MessageType::kSnapshotRequest, {request.offset, request.index});
}

json ToJson(const SnapshotChunk& chunk) {
  json data = json::binary(json::binary_t::container_type(chunk.data.begin(), chunk.data.end()));
  return Encode(MessageType::kSnapshotChunk,
                {chunk.offset, chunk.hash, chunk.index, chunk.count, std::move(data)});
}

json ToJson(const SnapshotRetryLater& message) {
  return Encode(MessageType::kSnapshotRetryLater, {message.retry_ms});
}

json ToJson(const ReaderHeartbeat& heartbeat) {
  return Encode(MessageType::kReaderHeartbeat, {heartbeat.held, heartbeat.log_reachable});
}

json ToJson(const HeldQuery& query) {
  return Encode(MessageType::kHeldQuery, {query.members_hash});
}

json ToJson(const HeldReply& reply) {
  return Encode(MessageType::kHeldReply, {reply.held, reply.ready, reply.zone_members});
}

// Reads the fields of a message in order. After the first missing or invalid field, the whole
// message is rejected.
class FieldReader {
 public:
  explicit FieldReader(const json& message, std::size_t first) : message(message), next(first) {}

  std::uint64_t ReadUint64(std::uint64_t limit = ~std::uint64_t{0}) {
    const json* field = this->Next();
    if (field == nullptr || !field->is_number_unsigned() || field->get<std::uint64_t>() > limit) {
      this->failed = true;
      return 0;
    }
    return field->get<std::uint64_t>();
  }

  std::uint32_t ReadUint32(std::uint64_t limit = kMaxUint32) {
    return static_cast<std::uint32_t>(this->ReadUint64(limit));
  }

  bool ReadBool() {
    const json* field = this->Next();
    this->failed = this->failed || field == nullptr || !field->is_boolean();
    return !this->failed && field->get<bool>();
  }

  std::string ReadBinary(std::size_t limit) {
    const json* field = this->Next();
    if (field == nullptr || !field->is_binary() || field->get_binary().size() > limit) {
      this->failed = true;
      return {};
    }
    const json::binary_t& bytes = field->get_binary();
    return {bytes.begin(), bytes.end()};
  }

  const json& ReadArray(std::size_t limit) {
    static const json empty = json::array();
    const json* field = this->Next();
    if (field == nullptr || !field->is_array() || field->size() > limit) {
      this->failed = true;
      return empty;
    }
    return *field;
  }

  const json& ReadAny() {
    static const json null;
    const json* field = this->Next();
    return field == nullptr ? null : *field;
  }

  void Fail() { this->failed = true; }
  bool IsComplete() const { return !this->failed && this->next == this->message.size(); }

 private:
  const json* Next() {
    if (this->failed || this->next >= this->message.size()) {
      this->failed = true;
      return nullptr;
    }
    return &this->message[this->next++];
  }

  const json& message;
  std::size_t next;
  bool failed = false;
};

EntriesPush DecodePush(FieldReader& reader) {
  EntriesPush push;
  push.previous = reader.ReadUint64(~std::uint64_t{0} - kMaxPushEntries);
  for (const json& item : reader.ReadArray(kMaxPushEntries)) {
    FieldReader fields(item, 0);
    if (!item.is_array()) {
      reader.Fail();
      break;
    }
    Entry entry;
    entry.offset = push.previous + push.entries.size() + 1;
    entry.record = fields.ReadAny();
    entry.patch_base = fields.ReadUint64();
    entry.record_hash = fields.ReadUint64();
    if (!fields.IsComplete() || entry.patch_base >= entry.offset) {
      reader.Fail();
      break;
    }
    push.entries.push_back(std::move(entry));
  }
  push.holder_count = reader.ReadUint32();
  push.token = reader.ReadUint32();
  return push;
}

SnapshotChunk DecodeChunk(FieldReader& reader) {
  SnapshotChunk chunk;
  chunk.offset = reader.ReadUint64();
  chunk.hash = reader.ReadUint64();
  chunk.index = reader.ReadUint32(kMaxChunks);
  chunk.count = reader.ReadUint32(kMaxChunks);
  chunk.data = reader.ReadBinary(kMaxChunkBytes);
  if (chunk.index >= chunk.count || chunk.offset == 0) {
    reader.Fail();
  }
  return chunk;
}

HeldReply DecodeHeldReply(FieldReader& reader) {
  HeldReply reply;
  reply.held = reader.ReadUint64();
  reply.ready = reader.ReadBool();
  for (const json& id : reader.ReadArray(kMaxReplyMembers)) {
    if (!id.is_string() || id.get_ref<const std::string&>().size() > kMaxNodeIdBytes) {
      reader.Fail();
      break;
    }
    reply.zone_members.push_back(id.get<std::string>());
  }
  return reply;
}

Message DecodeMessage(MessageType type, FieldReader& reader) {
  switch (type) {
    case MessageType::kEntriesPush:
      return DecodePush(reader);
    case MessageType::kEntriesAck:
      return EntriesAck{reader.ReadUint64()};
    case MessageType::kDigest: {
      const Offset held = reader.ReadUint64();
      return Digest{held, reader.ReadUint64()};
    }
    case MessageType::kEntriesRequest: {
      EntriesRequest request;
      request.held = reader.ReadUint64();
      request.full_records = reader.ReadBool();
      request.token = reader.ReadUint32();
      return request;
    }
    case MessageType::kSnapshotRequest: {
      const Offset offset = reader.ReadUint64();
      return SnapshotRequest{offset, reader.ReadUint32(kMaxChunks)};
    }
    case MessageType::kSnapshotChunk:
      return DecodeChunk(reader);
    case MessageType::kSnapshotRetryLater:
      return SnapshotRetryLater{reader.ReadUint32()};
    case MessageType::kReaderHeartbeat: {
      const Offset held = reader.ReadUint64();
      return ReaderHeartbeat{held, reader.ReadBool()};
    }
    case MessageType::kHeldQuery:
      return HeldQuery{reader.ReadUint64()};
    case MessageType::kHeldReply:
      return DecodeHeldReply(reader);
  }
  reader.Fail();
  return HeldQuery{};
}

}  // namespace

json ToJson(const Message& message) {
  return std::visit([](const auto& value) { return ToJson(value); }, message);
}

utils::Result<Message> MessageFromJson(const json& json) {
  if (!json.is_array() || json.empty()) {
    return utils::Fail(utils::ErrorCode::kMessageMalformed,
                       "distribution message is not an array that starts with a type number");
  }
  FieldReader reader(json, 0);
  const auto type = static_cast<MessageType>(reader.ReadUint64(0xFFU));
  Message message = DecodeMessage(type, reader);
  if (!reader.IsComplete()) {
    return utils::Fail(utils::ErrorCode::kMessageMalformed,
                       "distribution message has missing, invalid, oversized or extra fields");
  }
  return message;
}

}  // namespace amaranthlatch::distribution
