// Strict, bounded decoding.

#include "amaranthlatch/distribution/message_codec.h"

#include <type_traits>
#include <utility>

namespace amaranthlatch::distribution {

namespace {

using nlohmann::json;

// First element of an encoded message. Numbers are never used again for another message.
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

// Entries of one push. The smallest record takes more than 64 bytes of the 256 KiB of a push.
constexpr std::size_t kMaxEntries = 4'096;
// Twice the chunk size of this release, so that the size can be raised.
constexpr std::size_t kMaxChunkBytes = std::size_t{96} << 10U;
constexpr std::uint32_t kMaxChunks = 4'096;
constexpr std::size_t kMaxMembers = 4'096;
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
    // Offsets follow from the position, because a push has no gaps.
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

// Reads the fields of one message in order. The first field of another shape fails the whole.
class FieldReader {
 public:
  explicit FieldReader(const json& message, std::size_t first) : message(message), next(first) {}

  std::uint64_t Number(std::uint64_t limit = ~std::uint64_t{0}) {
    const json* field = this->Next();
    if (field == nullptr || !field->is_number_unsigned() || field->get<std::uint64_t>() > limit) {
      this->failed = true;
      return 0;
    }
    return field->get<std::uint64_t>();
  }

  std::uint32_t Number32(std::uint64_t limit = kMaxUint32) {
    return static_cast<std::uint32_t>(this->Number(limit));
  }

  bool Flag() {
    const json* field = this->Next();
    this->failed = this->failed || field == nullptr || !field->is_boolean();
    return !this->failed && field->get<bool>();
  }

  std::string Binary(std::size_t limit) {
    const json* field = this->Next();
    if (field == nullptr || !field->is_binary() || field->get_binary().size() > limit) {
      this->failed = true;
      return {};
    }
    const json::binary_t& bytes = field->get_binary();
    return {bytes.begin(), bytes.end()};
  }

  const json& Array(std::size_t limit) {
    static const json empty = json::array();
    const json* field = this->Next();
    if (field == nullptr || !field->is_array() || field->size() > limit) {
      this->failed = true;
      return empty;
    }
    return *field;
  }

  const json& Any() {
    static const json null;
    const json* field = this->Next();
    return field == nullptr ? null : *field;
  }

  void Fail() { this->failed = true; }
  bool Complete() const { return !this->failed && this->next == this->message.size(); }

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

EntriesPush ReadPush(FieldReader& reader) {
  EntriesPush push;
  push.previous = reader.Number(~std::uint64_t{0} - kMaxEntries);
  for (const json& item : reader.Array(kMaxEntries)) {
    FieldReader fields(item, 0);
    if (!item.is_array()) {
      reader.Fail();
      break;
    }
    Entry entry;
    entry.offset = push.previous + push.entries.size() + 1;
    entry.record = fields.Any();
    entry.patch_base = fields.Number();
    entry.record_hash = fields.Number();
    if (!fields.Complete() || entry.patch_base >= entry.offset) {
      reader.Fail();
      break;
    }
    push.entries.push_back(std::move(entry));
  }
  push.holder_count = reader.Number32();
  push.token = reader.Number32();
  return push;
}

SnapshotChunk ReadChunk(FieldReader& reader) {
  SnapshotChunk chunk;
  chunk.offset = reader.Number();
  chunk.hash = reader.Number();
  chunk.index = reader.Number32(kMaxChunks);
  chunk.count = reader.Number32(kMaxChunks);
  chunk.data = reader.Binary(kMaxChunkBytes);
  if (chunk.index >= chunk.count || chunk.offset == 0) {
    reader.Fail();
  }
  return chunk;
}

HeldReply ReadHeldReply(FieldReader& reader) {
  HeldReply reply;
  reply.held = reader.Number();
  reply.ready = reader.Flag();
  for (const json& id : reader.Array(kMaxMembers)) {
    if (!id.is_string() || id.get_ref<const std::string&>().size() > kMaxNodeIdBytes) {
      reader.Fail();
      break;
    }
    reply.zone_members.push_back(id.get<std::string>());
  }
  return reply;
}

Message ReadMessage(MessageType type, FieldReader& reader) {
  switch (type) {
    case MessageType::kEntriesPush:
      return ReadPush(reader);
    case MessageType::kEntriesAck:
      return EntriesAck{reader.Number()};
    case MessageType::kDigest: {
      const Offset held = reader.Number();
      return Digest{held, reader.Number()};
    }
    case MessageType::kEntriesRequest: {
      EntriesRequest request;
      request.held = reader.Number();
      request.full_records = reader.Flag();
      request.token = reader.Number32();
      return request;
    }
    case MessageType::kSnapshotRequest: {
      const Offset offset = reader.Number();
      return SnapshotRequest{offset, reader.Number32(kMaxChunks)};
    }
    case MessageType::kSnapshotChunk:
      return ReadChunk(reader);
    case MessageType::kSnapshotRetryLater:
      return SnapshotRetryLater{reader.Number32()};
    case MessageType::kReaderHeartbeat: {
      const Offset held = reader.Number();
      return ReaderHeartbeat{held, reader.Flag()};
    }
    case MessageType::kHeldQuery:
      return HeldQuery{reader.Number()};
    case MessageType::kHeldReply:
      return ReadHeldReply(reader);
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
    return utils::Fail(utils::ErrorCode::kMessageMalformed, "a message is an array with a type");
  }
  FieldReader reader(json, 0);
  const auto type = static_cast<MessageType>(reader.Number(0xFFU));
  Message message = ReadMessage(type, reader);
  if (!reader.Complete()) {
    return utils::Fail(utils::ErrorCode::kMessageMalformed,
                       "a distribution message has another shape or size");
  }
  return message;
}

}  // namespace amaranthlatch::distribution
