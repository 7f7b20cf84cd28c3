// Chunk record encoding and bounded chunk storage.

#include "snapshot_collector.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace amaranthlatch::distribution::details {

namespace {

constexpr std::uint32_t kSnapshotRecordFormat = 1;
constexpr std::size_t kMaxChunkSets = 8;
constexpr std::size_t kHashDigits = 16;
constexpr int kHexBase = 16;

std::string ToHex(std::uint64_t value) {
  std::array<char, kHashDigits> digits{};
  const auto end = std::to_chars(digits.begin(), digits.end(), value, kHexBase).ptr;
  const std::string encoded(digits.begin(), end);
  return std::string(kHashDigits - encoded.size(), '0') + encoded;
}

std::optional<std::uint64_t> FromHex(const std::string& encoded) {
  std::uint64_t value = 0;
  const char* end = encoded.data() + encoded.size();
  const auto result = std::from_chars(encoded.data(), end, value, kHexBase);
  const bool valid = encoded.size() == kHashDigits && result.ec == std::errc() && result.ptr == end;
  return valid ? std::optional(value) : std::nullopt;
}

std::string ToBase64(const std::string& bytes) {
  std::string encoded(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL),
                      '\0');
  sodium_bin2base64(encoded.data(), encoded.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
                    sodium_base64_VARIANT_ORIGINAL);
  encoded.pop_back();  // Removes the terminating null character.
  return encoded;
}

std::optional<std::string> FromBase64(const std::string& encoded) {
  std::string bytes(kSnapshotChunkBytes, '\0');
  std::size_t size = 0;
  const int result = sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(),
                                       encoded.data(), encoded.size(), nullptr, &size, nullptr,
                                       sodium_base64_VARIANT_ORIGINAL);
  if (result != 0) {
    return std::nullopt;
  }
  bytes.resize(size);
  return bytes;
}

std::optional<std::uint64_t> ReadNumber(const nlohmann::json& record, const char* name) {
  const auto field = record.find(name);
  const bool valid = field != record.end() && field->is_number_unsigned();
  return valid ? std::optional(field->get<std::uint64_t>()) : std::nullopt;
}

std::optional<std::string> ReadText(const nlohmann::json& record, const char* name) {
  const auto field = record.find(name);
  const bool valid = field != record.end() && field->is_string();
  return valid ? std::optional(field->get<std::string>()) : std::nullopt;
}

}  // namespace

nlohmann::json MakeSnapshotRecord(const Snapshot& snapshot, std::size_t index) {
  return {{"format", kSnapshotRecordFormat}, {"offset", snapshot.offset},
          {"hash", ToHex(snapshot.hash)},    {"index", index},
          {"count", snapshot.chunks.size()}, {"data", ToBase64(snapshot.chunks[index])}};
}

bool SnapshotCollector::Add(const nlohmann::json& record) {
  if (!record.is_object() || ReadNumber(record, "format") != kSnapshotRecordFormat) {
    return false;
  }
  const auto offset = ReadNumber(record, "offset");
  const auto index = ReadNumber(record, "index");
  const auto count = ReadNumber(record, "count");
  const auto hash = FromHex(ReadText(record, "hash").value_or(""));
  const auto data = FromBase64(ReadText(record, "data").value_or("!"));
  if (!offset || !index || !count || !hash || !data || *count > kMaxSnapshotChunks ||
      *index >= *count) {
    return false;
  }
  const Key key{*offset, *hash};
  ChunkSet& set = this->sets[key];
  if (set.chunks.empty()) {
    set.count = static_cast<std::uint32_t>(*count);
  }
  if (set.count != *count) {
    return false;
  }
  set.last_update = ++this->update_count;
  if (set.chunks.emplace(static_cast<std::uint32_t>(*index), *data).second) {
    set.bytes += data->size();
    this->bytes += data->size();
  }
  this->EvictLeastRecentlyUpdated(key);
  return true;
}

void SnapshotCollector::EvictLeastRecentlyUpdated(const Key& kept_key) {
  while (this->sets.size() > 1 &&
         (this->sets.size() > kMaxChunkSets || this->bytes > acceptance::kMaxSnapshotBytes)) {
    auto oldest = this->sets.end();
    for (auto it = this->sets.begin(); it != this->sets.end(); ++it) {
      const bool older =
          oldest == this->sets.end() || it->second.last_update < oldest->second.last_update;
      if (it->first != kept_key && older) {
        oldest = it;
      }
    }
    this->bytes -= oldest->second.bytes;
    this->sets.erase(oldest);
  }
}

std::optional<Snapshot> SnapshotCollector::TakeNewest() {
  for (auto it = this->sets.rbegin(); it != this->sets.rend(); ++it) {
    ChunkSet& set = it->second;
    if (set.chunks.size() != set.count) {
      continue;
    }
    Snapshot snapshot{.offset = it->first.first, .hash = it->first.second, .chunks = {}};
    for (auto& [index, chunk] : set.chunks) {
      snapshot.chunks.push_back(std::move(chunk));
    }
    this->bytes -= set.bytes;
    this->sets.erase(std::next(it).base());
    return snapshot;
  }
  return std::nullopt;
}

void SnapshotCollector::Clear() {
  this->sets.clear();
  this->bytes = 0;
}

}  // namespace amaranthlatch::distribution::details
