// Chunk records of the log's stream `snapshots`, and snapshots put together from them.

#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "snapshot_codec.h"

namespace amaranthlatch::distribution::details {

// `{"format":1,"offset":N,"hash":"16 hex digits","index":N,"count":N,"data":base64}`. The hash is
// encoded because many JSON parsers do not keep 64-bit numbers.
nlohmann::json MakeSnapshotRecord(const Snapshot& snapshot, std::size_t index);

class SnapshotCollector {
 public:
  // Returns false, and keeps nothing, where the record is not a chunk of this format.
  bool Add(const nlohmann::json& record);

  // Takes the complete snapshot of the highest offset out of the collection.
  std::optional<Snapshot> TakeNewest();

  void Clear();

 private:
  struct ChunkSet {
    std::uint32_t count = 0;
    std::map<std::uint32_t, std::string> chunks;
    std::size_t bytes = 0;
    // Rises with every chunk that was added to any set.
    std::uint64_t last_update = 0;
  };
  using Key = std::pair<acceptance::Offset, std::uint64_t>;

  void EvictLeastRecentlyUpdated(const Key& kept_key);

  // Bounded in number and bytes: the sets that grew least recently are dropped.
  std::map<Key, ChunkSet> sets;
  std::size_t bytes = 0;
  std::uint64_t update_count = 0;
};

}  // namespace amaranthlatch::distribution::details
