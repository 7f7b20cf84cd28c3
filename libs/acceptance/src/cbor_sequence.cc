// Sequences of encoded CBOR items.

#include "cbor_sequence.h"

#include <cstdint>
#include <vector>

#include "amaranthlatch/document/json_guard.h"

namespace amaranthlatch::acceptance::details {

namespace {

using nlohmann::json;
using utils::ErrorCode;

// Major type 2 with a length of four bytes: longer than needed for short items, but of one size.
constexpr char kByteString = 0x5a;
constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;

void AppendHead(std::string& bytes, std::size_t length) {
  bytes.push_back(kByteString);
  for (std::size_t i = kLengthBytes; i > 0; --i) {
    bytes.push_back(static_cast<char>(length >> (kBitsPerByte * (i - 1))));
  }
}

std::size_t ReadLength(std::string_view bytes) {
  std::size_t length = 0;
  for (const char byte : bytes.substr(0, kLengthBytes)) {
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
  constexpr std::size_t kHeadBytes = 1 + kLengthBytes;
  if (this->rest.size() < kHeadBytes || this->rest.front() != kByteString) {
    return utils::Fail(ErrorCode::kSnapshotMalformed, "no byte string where an item must be");
  }
  const std::size_t length = ReadLength(this->rest.substr(1));
  this->rest.remove_prefix(kHeadBytes);
  if (length > this->rest.size()) {
    return utils::Fail(ErrorCode::kSnapshotMalformed, "an item is cut off");
  }
  const std::string_view encoded = this->rest.substr(0, length);
  this->rest.remove_prefix(length);
  return document::ParseCbor(encoded, ErrorCode::kSnapshotMalformed);
}

}  // namespace amaranthlatch::acceptance::details
