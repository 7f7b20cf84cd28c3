// Writing and reading of CBOR sequences.

#include "cbor_sequence.h"

#include <cstdint>
#include <vector>

#include "amaranthlatch/document/json_guard.h"

namespace amaranthlatch::acceptance::details {

namespace {

using nlohmann::json;
using utils::ErrorCode;

// Initial byte of a byte string (major type 2) with a 4-byte length. Short items are encoded this
// way too, so that every head has the same size.
constexpr char kByteStringInitialByte = 0x5a;
constexpr std::size_t kLengthSizeBytes = 4;
constexpr unsigned kBitsPerByte = 8;

void AppendHead(std::string& bytes, std::size_t length) {
  bytes.push_back(kByteStringInitialByte);
  for (std::size_t i = kLengthSizeBytes; i > 0; --i) {
    bytes.push_back(static_cast<char>(length >> (kBitsPerByte * (i - 1))));
  }
}

std::size_t ReadLength(std::string_view bytes) {
  std::size_t length = 0;
  for (const char byte : bytes.substr(0, kLengthSizeBytes)) {
    length = (length << kBitsPerByte) | static_cast<unsigned char>(byte);
  }
  return length;
}

}  // namespace

void CborSequenceWriter::Append(const json& item) {
  const std::vector<std::uint8_t> encoded = json::to_cbor(item);
  AppendHead(this->bytes, encoded.size());
  this->bytes.append(encoded.begin(), encoded.end());
}

utils::Result<json> CborSequenceReader::Next() {
  constexpr std::size_t kHeadSizeBytes = 1 + kLengthSizeBytes;
  if (this->remaining.size() < kHeadSizeBytes ||
      this->remaining.front() != kByteStringInitialByte) {
    return utils::Fail(ErrorCode::kSnapshotMalformed,
                       "expected a byte string with a 4-byte length");
  }
  const std::size_t length = ReadLength(this->remaining.substr(1));
  this->remaining.remove_prefix(kHeadSizeBytes);
  if (length > this->remaining.size()) {
    return utils::Fail(ErrorCode::kSnapshotMalformed, "item is truncated");
  }
  const std::string_view encoded = this->remaining.substr(0, length);
  this->remaining.remove_prefix(length);
  return document::ParseCbor(encoded, ErrorCode::kSnapshotMalformed);
}

}  // namespace amaranthlatch::acceptance::details
