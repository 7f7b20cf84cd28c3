// Bounded buffer of the newest entries, kept to serve them to peers.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "amaranthlatch/acceptance/record.h"
#include "amaranthlatch/distribution/message.h"

namespace amaranthlatch::distribution::details {

struct TailEntry {
  // As sent to peers: in full or as a JSON patch.
  Entry wire;
  nlohmann::json record;
  acceptance::Verdict verdict;
  // State hash after this entry.
  std::uint64_t hash = 0;
  std::size_t bytes = 0;
};

class EntryTail {
 public:
  EntryTail(std::size_t max_entries, std::size_t max_bytes)
      : max_entries(max_entries), max_bytes(max_bytes) {}

  // Clears the buffer; the next entry follows offset `base`, whose state hash is `hash`.
  void Reset(Offset base, std::uint64_t hash);

  // Appends `entry`, which must follow the last one, and drops the oldest entries above the limits.
  void Append(TailEntry entry);

  // Whether all held entries above `offset` are in the buffer.
  bool Covers(Offset offset) const { return offset >= this->base; }

  // Returns null if the entry is not in the buffer.
  const TailEntry* Find(Offset offset) const;

  std::optional<std::uint64_t> HashAt(Offset offset) const;

  // Returns entries above `offset` up to `bytes` of encoded records, but at least one if there is
  // any. Returns none if the buffer does not cover `offset`.
  std::vector<Entry> After(Offset offset, std::size_t bytes, bool full_records) const;

 private:
  std::size_t max_entries;
  std::size_t max_bytes;
  // Offset before the first entry, and the state hash at that offset.
  Offset base = 0;
  std::uint64_t base_hash = 0;
  // Contiguous: the entry at index i has offset base + 1 + i.
  std::deque<TailEntry> entries;
  std::size_t bytes = 0;
};

}  // namespace amaranthlatch::distribution::details
