// Streams of the stand-in for the platform's log: records with offsets and limited retention.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace amaranthlatch::standins {

struct StoredRecord {
  std::uint64_t offset = 0;
  nlohmann::json value;
};

// Part of a stream from an offset on.
struct StreamPage {
  std::uint64_t first_kept = 1;
  std::uint64_t head = 0;
  std::uint64_t next = 1;
  bool truncated = false;
  std::vector<StoredRecord> records;
};

class LogStore {
 public:
  // Returns the offset of the record; the first of a stream has offset 1.
  std::uint64_t Append(const std::string& stream, nlohmann::json value);

  StreamPage Read(const std::string& stream, std::uint64_t from, std::size_t limit) const;

  // Keeps at most `records` of every stream from now on; 0 keeps all.
  void SetRetention(std::size_t records);

 private:
  struct Stream {
    // Invariant: offsets are consecutive and end at `head`.
    std::deque<StoredRecord> records;
    std::uint64_t head = 0;
  };

  void Truncate(Stream& stream) const;

  std::map<std::string, Stream> streams;
  std::size_t retention = 0;
};

}  // namespace amaranthlatch::standins
