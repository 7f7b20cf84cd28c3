// Encodes chunk records of the log's `snapshots` stream and reassembles snapshots from them.

#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "snapshot_codec.h"

namespace amaranthlatch::distribution::details {

// `{"format":1,"offset":N,"hash":"16 hex digits","index":N,"count":N,"data":base64}`. The hash is a
// string because many JSON parsers do not preserve 64-bit integers.
nlohmann::json MakeSnapshotRecord(const Snapshot& snapshot, std::size_t index);

class SnapshotCollector {
 public:
  // Returns false and stores nothing if the record is not a valid chunk of this format.
  bool Add(const nlohmann::json& record);

  // Removes and returns the complete snapshot with the highest offset.
  std::optional<Snapshot> TakeNewest();

  void Clear();

 private:
  struct ChunkSet {
    std::uint32_t count = 0;
    std::map<std::uint32_t, std::string> chunks;
    std::size_t bytes = 0;
    // Value of `update_count` when this set last received a chunk.
    std::uint64_t last_update = 0;
  };
  using Key = std::pair<acceptance::Offset, std::uint64_t>;

  void EvictLeastRecentlyUpdated(const Key& kept_key);

  // Bounded in number and total bytes; the least recently updated sets are evicted first.
  std::map<Key, ChunkSet> sets;
  std::size_t bytes = 0;
  std::uint64_t update_count = 0;
};

}  // namespace amaranthlatch::distribution::details
