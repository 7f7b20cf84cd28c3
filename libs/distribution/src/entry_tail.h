// The newest entries that a node holds, kept so that it can give them to others.

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
  // As it goes to other nodes: whole or as a difference.
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

  // Forgets everything; the next entry follows `base`, whose state hash is `hash`.
  void Reset(Offset base, std::uint64_t hash);

  // `entry` must follow the last one. Drops the oldest entries above the limits.
  void Append(TailEntry entry);

  // Whether all entries above `offset` are here.
  bool Covers(Offset offset) const { return offset >= this->base; }

  // Null where the entry is not kept.
  const TailEntry* Find(Offset offset) const;

  std::optional<std::uint64_t> HashAt(Offset offset) const;

  // Entries above `offset`, at least one if there is any, up to `bytes`.
  std::vector<Entry> After(Offset offset, std::size_t bytes, bool whole) const;

 private:
  std::size_t max_entries;
  std::size_t max_bytes;
  // Offset before the first kept entry, and the state hash there.
  Offset base = 0;
  std::uint64_t base_hash = 0;
  // Offsets are base + 1, base + 2, ...
  std::deque<TailEntry> entries;
  std::size_t bytes = 0;
};

}  // namespace amaranthlatch::distribution::details
