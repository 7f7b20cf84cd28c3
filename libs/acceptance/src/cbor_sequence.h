// A sequence of CBOR byte strings that each contain one encoded item (RFC 8742, RFC 8949 section
// 3.4.5.1). Items are written and read one at a time, so a large state is never held as a single
// JSON tree.

#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::acceptance::details {

class CborSequenceWriter {
 public:
  void Append(const nlohmann::json& item);
  const std::string& Bytes() const { return this->bytes; }

 private:
  std::string bytes;
};

class CborSequenceReader {
 public:
  // `bytes` must outlive the reader.
  explicit CborSequenceReader(std::string_view bytes) : remaining(bytes) {}

  bool IsAtEnd() const { return this->remaining.empty(); }

  // Reads the next item. Fails with kSnapshotMalformed, also at the end.
  utils::Result<nlohmann::json> Next();

 private:
  std::string_view remaining;
};

}  // namespace amaranthlatch::acceptance::details
