// Messages exchanged between the distribution reducers of two nodes.

#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "amaranthlatch/acceptance/record.h"

namespace amaranthlatch::distribution {

using acceptance::Offset;

// A log record as sent between nodes: in full or as a JSON patch.
struct Entry {
  Offset offset = 0;
  // The full record, or the record with `document` replaced by a JSON patch (RFC 6902) against
  // version `patch_base` of the service's document. `patch_base` is 0 for full records.
  nlohmann::json record;
  Offset patch_base = 0;
  // Hash of the full record. A receiver whose patched record has another hash requests the full
  // record.
  std::uint64_t record_hash = 0;
  bool operator==(const Entry&) const = default;
};

// Entries in ascending order without gaps. `previous` is the offset before the first entry. A push
// without entries reports that the sender holds `previous`, and the number of holders.
struct EntriesPush {
  Offset previous = 0;
  std::vector<Entry> entries;
  // Number of nodes in the receiver's zone, including the sender, that hold all of the entries;
  // 0 if the sender is in another zone.
  std::uint32_t holder_count = 0;
  // Token of the request that this push answers; 0 if it answers none.
  std::uint32_t token = 0;
  bool operator==(const EntriesPush&) const = default;
};

struct EntriesAck {
  Offset held = 0;
  bool operator==(const EntriesAck&) const = default;
};

// Held offset and state hash of the sender. The receiver pushes the entries that the sender lacks
// or requests those that it lacks itself.
struct Digest {
  Offset held = 0;
  std::uint64_t hash = 0;
  bool operator==(const Digest&) const = default;
};

// Requests the entries above `held`; `full_records` rules out patches.
struct EntriesRequest {
  Offset held = 0;
  bool full_records = false;
  // Echoed in the response, so that the sender can tell it from pushes sent before the request.
  std::uint32_t token = 0;
  bool operator==(const EntriesRequest&) const = default;
};

struct SnapshotRequest {
  // Snapshot offset of the transfer to resume and its next chunk; offset 0 starts a new transfer.
  Offset offset = 0;
  std::uint32_t index = 0;
  bool operator==(const SnapshotRequest&) const = default;
};

struct SnapshotChunk {
  Offset offset = 0;
  std::uint64_t hash = 0;
  std::uint32_t index = 0;
  std::uint32_t count = 0;
  // Slice of the compressed snapshot.
  std::string data;
  bool operator==(const SnapshotChunk&) const = default;
};

struct SnapshotRetryLater {
  std::uint32_t retry_ms = 0;
  bool operator==(const SnapshotRetryLater&) const = default;
};

// Sent by the log reader of a region to the other reader candidates.
struct ReaderHeartbeat {
  Offset held = 0;
  bool log_reachable = false;
  bool operator==(const ReaderHeartbeat&) const = default;
};

// Requests the held offset and the known zone members of the receiver; sent by starting nodes.
struct HeldQuery {
  // Hash of the ids of the zone members known to the sender, except the sender itself.
  std::uint64_t members_hash = 0;
  bool operator==(const HeldQuery&) const = default;
};

struct HeldReply {
  Offset held = 0;
  // False if the state of the sender is not proven yet.
  bool ready = false;
  // Empty if they match the hash of the query, to save bytes: 864 ids take about 15 KB.
  std::vector<std::string> zone_members;
  bool operator==(const HeldReply&) const = default;
};

using Message =
    std::variant<EntriesPush, EntriesAck, Digest, EntriesRequest, SnapshotRequest, SnapshotChunk,
                 SnapshotRetryLater, ReaderHeartbeat, HeldQuery, HeldReply>;

}  // namespace amaranthlatch::distribution
