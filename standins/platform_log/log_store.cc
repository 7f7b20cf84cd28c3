// Streams of the stand-in for the platform's log.

#include "standins/platform_log/log_store.h"

#include <algorithm>

namespace amaranthlatch::standins {

std::uint64_t LogStore::Append(const std::string& stream, nlohmann::json value) {
  Stream& target = this->streams[stream];
  target.head += 1;
  target.records.push_back(StoredRecord{target.head, std::move(value)});
  this->Truncate(target);
  return target.head;
}

StreamPage LogStore::Read(const std::string& stream, std::uint64_t from, std::size_t limit) const {
  StreamPage page;
  const auto found = this->streams.find(stream);
  if (found == this->streams.end()) {
    page.next = std::max<std::uint64_t>(from, 1);
    return page;
  }
  const Stream& source = found->second;
  page.head = source.head;
  page.first_kept = source.head - source.records.size() + 1;
  page.next = from;
  page.truncated = from < page.first_kept;
  if (page.truncated || from > source.head) {
    return page;
  }
  const std::size_t start = static_cast<std::size_t>(from - page.first_kept);
  const std::size_t end = std::min(source.records.size(), start + limit);
  for (std::size_t i = start; i < end; ++i) {
    page.records.push_back(source.records[i]);
  }
  page.next = from + page.records.size();
  return page;
}

void LogStore::SetRetention(std::size_t records) {
  this->retention = records;
  for (auto& [name, stream] : this->streams) {
    this->Truncate(stream);
  }
}

void LogStore::Truncate(Stream& stream) const {
  while (this->retention > 0 && stream.records.size() > this->retention) {
    stream.records.pop_front();
  }
}

}  // namespace amaranthlatch::standins
