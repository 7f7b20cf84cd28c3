// Messages between the distribution reducers of two nodes.

#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "amaranthlatch/acceptance/record.h"

namespace amaranthlatch::distribution {

using acceptance::Offset;

// One log record on its way through the mesh: whole, or as a difference.
struct Entry {
  Offset offset = 0;
  // The whole record, or the record with `document` replaced by a JSON patch (RFC 6902) against
  // version `patch_base` of the service's document.
  nlohmann::json record;
  Offset patch_base = 0;
  // Hash of the whole record; a receiver whose result differs asks for the whole.
  std::uint64_t record_hash = 0;
  bool operator==(const Entry&) const = default;
};

// Entries in ascending order without gaps. `previous` is the offset before the first of them.
struct EntriesPush {
  Offset previous = 0;
  std::vector<Entry> entries;
  // Nodes of the receiver's zone, the sender among them, that hold all of the entries.
  std::uint32_t holder_count = 0;
  // That of the request that this push answers; 0 for pushes that answer none.
  std::uint32_t token = 0;
  bool operator==(const EntriesPush&) const = default;
};

struct EntriesAck {
  Offset held_offset = 0;
  bool operator==(const EntriesAck&) const = default;
};

// What the sender holds; the receiver answers with what is missing on either side.
struct Digest {
  Offset held_offset = 0;
  std::uint64_t hash = 0;
  bool operator==(const Digest&) const = default;
};

// Asks for the entries above `held`; `whole` asks for records instead of differences.
struct EntriesRequest {
  Offset held_offset = 0;
  bool full_records = false;
  // Repeated in the answer, so that the sender knows that it was given after the question.
  std::uint32_t token = 0;
  bool operator==(const EntriesRequest&) const = default;
};

struct SnapshotRequest {
  // Offset of the transfer to go on with and the next chunk of it; 0 starts a new one.
  Offset offset = 0;
  std::uint32_t index = 0;
  bool operator==(const SnapshotRequest&) const = default;
};

struct SnapshotChunk {
  Offset offset = 0;
  std::uint64_t hash = 0;
  std::uint32_t index = 0;
  std::uint32_t count = 0;
  // Part of the compressed snapshot.
  std::string data;
  bool operator==(const SnapshotChunk&) const = default;
};

struct SnapshotRetryLater {
  std::uint32_t retry_ms = 0;
  bool operator==(const SnapshotRetryLater&) const = default;
};

// Sent by the reader of a region to the next in order.
struct ReaderHeartbeat {
  Offset held_offset = 0;
  bool log_reachable = false;
  bool operator==(const ReaderHeartbeat&) const = default;
};

// Asks what the receiver holds and which zone members it knows; used by starting nodes.
struct HeldQuery {
  // Hash of the ids of the zone members that the sender knows, itself left out.
  std::uint64_t members_hash = 0;
  bool operator==(const HeldQuery&) const = default;
};

struct HeldReply {
  Offset held_offset = 0;
  // False where the sender itself has no proven state.
  bool ready = false;
  // Empty where they are those of the query's hash: 864 ids are about 15 KB.
  std::vector<std::string> zone_members;
  bool operator==(const HeldReply&) const = default;
};

using Message =
    std::variant<EntriesPush, EntriesAck, Digest, EntriesRequest, SnapshotRequest, SnapshotChunk,
                 SnapshotRetryLater, ReaderHeartbeat, HeldQuery, HeldReply>;

}  // namespace amaranthlatch::distribution
