// CBOR by way of the streaming interface of libcbor, which allocates nothing.

#include "amaranthlatch/utils/cbor.h"

#include <cbor.h>

#include <array>

namespace amaranthlatch::utils {

namespace {

// An item's type, and its value or length in up to eight bytes.
constexpr std::size_t kMaxHeaderBytes = 9;

using Encoder = std::size_t (*)(std::uint64_t, unsigned char*, std::size_t);

void AppendHeader(std::string& out, Encoder encode, std::uint64_t value) {
  std::array<unsigned char, kMaxHeaderBytes> header{};
  const std::size_t size = encode(value, header.data(), header.size());
  out.append(reinterpret_cast<const char*>(header.data()), size);
}

}  // namespace

CborWriter& CborWriter::Array(std::size_t size) {
  AppendHeader(this->out, &cbor_encode_array_start, size);
  return *this;
}

CborWriter& CborWriter::Number(std::uint64_t value) {
  AppendHeader(this->out, &cbor_encode_uint, value);
  return *this;
}

CborWriter& CborWriter::Flag(bool value) {
  unsigned char byte = 0;
  cbor_encode_bool(value, &byte, sizeof(byte));
  this->out.push_back(static_cast<char>(byte));
  return *this;
}

CborWriter& CborWriter::Text(std::string_view value) {
  AppendHeader(this->out, &cbor_encode_string_start, value.size());
  this->out.append(value);
  return *this;
}

CborWriter& CborWriter::Bytes(std::string_view value) {
  this->BytesHeader(value.size());
  this->out.append(value);
  return *this;
}

CborWriter& CborWriter::BytesHeader(std::size_t size) {
  AppendHeader(this->out, &cbor_encode_bytestring_start, size);
  return *this;
}

struct CborReader::Decoder {
  template <typename T>
  static void OnNumber(void* item, T value) {
    *static_cast<Item*>(item) = {Kind::kNumber, value, {}};
  }
  static void OnArray(void* item, std::size_t size) {
    *static_cast<Item*>(item) = {Kind::kArray, size, {}};
  }
  static void OnFlag(void* item, bool value) {
    *static_cast<Item*>(item) = {Kind::kFlag, value ? 1U : 0U, {}};
  }
  static void OnText(void* item, cbor_data data, std::size_t size) {
    *static_cast<Item*>(item) = {Kind::kText, 0, {reinterpret_cast<const char*>(data), size}};
  }
  static void OnBytes(void* item, cbor_data data, std::size_t size) {
    *static_cast<Item*>(item) = {Kind::kBytes, 0, {reinterpret_cast<const char*>(data), size}};
  }

  // Items of all other kinds leave the Item empty.
  static cbor_callbacks MakeCallbacks() {
    cbor_callbacks callbacks = cbor_empty_callbacks;
    callbacks.uint8 = &OnNumber<std::uint8_t>;
    callbacks.uint16 = &OnNumber<std::uint16_t>;
    callbacks.uint32 = &OnNumber<std::uint32_t>;
    callbacks.uint64 = &OnNumber<std::uint64_t>;
    callbacks.array_start = &OnArray;
    callbacks.boolean = &OnFlag;
    callbacks.string = &OnText;
    callbacks.byte_string = &OnBytes;
    return callbacks;
  }
};

CborReader::Item CborReader::Next(Kind kind) {
  static const cbor_callbacks callbacks = Decoder::MakeCallbacks();
  if (this->error) {
    return {};
  }
  Item item;
  const cbor_decoder_result result = cbor_stream_decode(
      reinterpret_cast<cbor_data>(this->rest.data()), this->rest.size(), &callbacks, &item);
  if (result.status != CBOR_DECODER_FINISHED || item.kind != kind) {
    this->FailWith(ErrorCode::kMessageMalformed);
    return {};
  }
  this->rest.remove_prefix(result.read);
  return item;
}

std::size_t CborReader::ArraySize(std::size_t max) {
  const Item item = this->Next(Kind::kArray);
  if (item.number > max) {
    this->FailWith(ErrorCode::kMessageTooLarge);
    return 0;
  }
  return item.number;
}

void CborReader::ExpectArray(std::size_t size) {
  if (this->Next(Kind::kArray).number != size) {
    this->FailWith(ErrorCode::kMessageMalformed);
  }
}

std::uint64_t CborReader::Number(std::uint64_t max) {
  const Item item = this->Next(Kind::kNumber);
  if (item.number > max) {
    this->FailWith(ErrorCode::kMessageMalformed);
    return 0;
  }
  return item.number;
}

bool CborReader::Flag() { return this->Next(Kind::kFlag).number != 0; }

std::string_view CborReader::Text(std::size_t max_bytes) {
  return this->Limited(this->Next(Kind::kText), max_bytes);
}

std::string_view CborReader::Bytes(std::size_t max_bytes) {
  return this->Limited(this->Next(Kind::kBytes), max_bytes);
}

std::vector<std::uint64_t> CborReader::Numbers(std::size_t max_count) {
  const std::size_t count = this->ArraySize(max_count);
  std::vector<std::uint64_t> numbers;
  for (std::size_t i = 0; i < count && !this->error; ++i) {
    numbers.push_back(this->Number());
  }
  return numbers;
}

void CborReader::FailWith(ErrorCode code) {
  if (!this->error) {
    this->error = code;
  }
}

std::string_view CborReader::Limited(const Item& item, std::size_t max_bytes) {
  if (item.bytes.size() > max_bytes) {
    this->FailWith(ErrorCode::kMessageTooLarge);
    return {};
  }
  return item.bytes;
}

}  // namespace amaranthlatch::utils
