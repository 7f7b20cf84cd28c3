// Reads the newest complete snapshot of the log.

#include "snapshot_reader.h"

#include <sodium.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace amaranthlatch::cli {

namespace {

using acceptance::Offset;
using acceptance::State;
using nlohmann::json;

constexpr std::uint64_t kChunkFormat = 1;
constexpr std::size_t kMaxChunkBytes = 48ULL * 1024;
// Records a request: about 64 KiB each.
constexpr std::size_t kPageRecords = 64;
constexpr std::uint64_t kMaxChunks = acceptance::kMaxSnapshotBytes / kMaxChunkBytes;

// Chunks of one snapshot: those of equal offset and hash are equal, whoever wrote them.
struct ChunkSet {
  std::uint64_t count = 0;
  std::map<std::uint64_t, std::string> chunks;

  bool IsComplete() const { return this->chunks.size() == this->count; }
};

using ChunkSets = std::map<std::pair<Offset, std::string>, ChunkSet>;

std::optional<std::string> DecodeData(const std::string& text) {
  std::string bytes(kMaxChunkBytes, '\0');
  std::size_t size = 0;
  const int result =
      sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
                        text.size(), nullptr, &size, nullptr, sodium_base64_VARIANT_ORIGINAL);
  if (result != 0) {
    return std::nullopt;
  }
  bytes.resize(size);
  return bytes;
}

bool IsChunk(const json& value) {
  if (!value.is_object()) {
    return false;
  }
  for (const char* field : {"format", "offset", "index", "count"}) {
    if (!value.contains(field) || !value[field].is_number_unsigned()) {
      return false;
    }
  }
  for (const char* field : {"hash", "data"}) {
    if (!value.contains(field) || !value[field].is_string()) {
      return false;
    }
  }
  return value["format"] == kChunkFormat && value["count"] <= kMaxChunks &&
         value["index"] < value["count"];
}

void AddChunk(ChunkSets& sets, const json& value) {
  if (!IsChunk(value)) {
    return;
  }
  auto data = DecodeData(value["data"].get_ref<const std::string&>());
  if (!data) {
    return;
  }
  ChunkSet& set = sets[{value["offset"].get<Offset>(), value["hash"].get<std::string>()}];
  set.count = value["count"].get<std::uint64_t>();
  set.chunks.emplace(value["index"].get<std::uint64_t>(), std::move(*data));
}

// The newest complete snapshot that decodes; what does not decode is forgotten.
std::optional<State> TakeState(ChunkSets& sets) {
  for (auto it = sets.rbegin(); it != sets.rend(); ++it) {
    if (!it->second.IsComplete()) {
      continue;
    }
    std::string bytes;
    for (const auto& [index, chunk] : it->second.chunks) {
      bytes.append(chunk);
    }
    if (auto state = State::DecodeSnapshot(bytes)) {
      return std::move(*state);
    }
    it->second = ChunkSet{1, {}};
  }
  return std::nullopt;
}

// Reads [from, to) as far as it is kept. Returns the first offset kept.
utils::Result<Offset> ReadRange(LogClient& log, Offset from, Offset to, ChunkSets& sets) {
  Offset first_kept = 1;
  while (from < to) {
    const auto page = log.ReadKept(kSnapshotStream, from, kPageRecords);
    if (!page) {
      return tl::unexpected(page.error());
    }
    first_kept = page->first_kept;
    for (const LogRecord& record : page->records) {
      AddChunk(sets, record.value);
    }
    if (page->next <= from) {
      break;
    }
    from = page->next;
  }
  return first_kept;
}

}  // namespace

utils::Result<std::optional<State>> ReadNewestSnapshot(LogClient& log) {
  const auto start = log.ReadKept(kSnapshotStream, 1, 1);
  if (!start) {
    return tl::unexpected(start.error());
  }
  ChunkSets sets;
  Offset first_kept = std::max<Offset>(start->first_kept, 1);
  // Backwards from the head: the newest snapshot is near it.
  for (Offset to = start->head + 1; to > first_kept;) {
    const Offset from = to > first_kept + kPageRecords ? to - kPageRecords : first_kept;
    const auto kept = ReadRange(log, from, to, sets);
    if (!kept) {
      return tl::unexpected(kept.error());
    }
    if (auto state = TakeState(sets)) {
      return state;
    }
    first_kept = std::max(first_kept, *kept);
    to = from;
  }
  return std::optional<State>();
}

}  // namespace amaranthlatch::cli
