// Implementation of the bounded entry buffer.

#include "entry_tail.h"

#include <utility>

#include "difference.h"

namespace amaranthlatch::distribution::details {

void EntryTail::Reset(Offset base, std::uint64_t hash) {
  this->base = base;
  this->base_hash = hash;
  this->entries.clear();
  this->bytes = 0;
}

void EntryTail::Append(TailEntry entry) {
  this->bytes += entry.bytes;
  this->entries.push_back(std::move(entry));
  while (this->entries.size() > 1 &&
         (this->entries.size() > this->max_entries || this->bytes > this->max_bytes)) {
    this->base = this->entries.front().wire.offset;
    this->base_hash = this->entries.front().hash;
    this->bytes -= this->entries.front().bytes;
    this->entries.pop_front();
  }
}

const TailEntry* EntryTail::Find(Offset offset) const {
  if (offset <= this->base || offset > this->base + this->entries.size()) {
    return nullptr;
  }
  return &this->entries[offset - this->base - 1];
}

std::optional<std::uint64_t> EntryTail::HashAt(Offset offset) const {
  if (offset == this->base) {
    return this->base_hash;
  }
  const TailEntry* entry = this->Find(offset);
  return entry == nullptr ? std::nullopt : std::optional<std::uint64_t>(entry->hash);
}

std::vector<Entry> EntryTail::After(Offset offset, std::size_t bytes, bool full_records) const {
  std::vector<Entry> result;
  std::size_t used = 0;
  const TailEntry* entry = this->Covers(offset) ? this->Find(offset + 1) : nullptr;
  while (entry != nullptr) {
    Entry next = full_records ? MakeFullEntry(entry->wire.offset, entry->record) : entry->wire;
    used += CborSize(next.record);
    if (!result.empty() && used > bytes) {
      break;
    }
    result.push_back(std::move(next));
    entry = this->Find(result.back().offset + 1);
  }
  return result;
}

}  // namespace amaranthlatch::distribution::details
