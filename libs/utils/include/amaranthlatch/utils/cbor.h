// Writing and reading of CBOR (RFC 8949) without an intermediate tree, for messages whose structure
// both sides know. Only unsigned numbers, booleans, texts, byte strings and arrays of known size.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthlatch/utils/error_code.h"

namespace amaranthlatch::utils {

// Appends values to a string, each in its shortest encoding.
class CborWriter {
 public:
  // `out` must outlive the writer.
  explicit CborWriter(std::string& out) : out(out) {}

  // The next `size` values are the elements.
  CborWriter& Array(std::size_t size);
  CborWriter& Number(std::uint64_t value);
  CborWriter& Flag(bool value);
  CborWriter& Text(std::string_view value);
  CborWriter& Bytes(std::string_view value);
  // Starts a byte string of `size` bytes, which the caller appends to the output.
  CborWriter& BytesHeader(std::size_t size);

 private:
  std::string& out;
};

// Reads values in order. After the first error all further values are empty. The views returned
// refer to the input.
class CborReader {
 public:
  explicit CborReader(std::string_view input) : rest(input) {}

  // Returns the number of elements of the array that starts here.
  std::size_t ArraySize(std::size_t max);
  // Fails unless an array of exactly `size` elements starts here.
  void ExpectArray(std::size_t size);
  std::uint64_t Number(std::uint64_t max = UINT64_MAX);
  std::uint32_t Number32() { return static_cast<std::uint32_t>(this->Number(UINT32_MAX)); }
  bool Flag();
  std::string_view Text(std::size_t max_bytes);
  std::string_view Bytes(std::size_t max_bytes);
  // Reads an array of numbers.
  std::vector<std::uint64_t> Numbers(std::size_t max_count);

  // Records an error found by the caller; only the first error counts.
  void FailWith(ErrorCode code);
  // kMessageMalformed for a value of another type or out of range, kMessageTooLarge for one that
  // exceeds its size limit.
  std::optional<ErrorCode> Error() const { return this->error; }
  bool AtEnd() const { return this->rest.empty(); }

 private:
  enum class Kind : std::uint8_t { kOther, kArray, kNumber, kFlag, kText, kBytes };
  struct Item {
    Kind kind = Kind::kOther;
    // Value of a number or flag, size of an array.
    std::uint64_t number = 0;
    std::string_view bytes;
  };
  // Decodes one item into an Item; see cbor_callbacks of libcbor.
  struct Decoder;

  // Returns the next item, or an empty one after an error or if it is of another kind.
  Item Next(Kind kind);
  std::string_view Limited(const Item& item, std::size_t max_bytes);

  std::string_view rest;
  std::optional<ErrorCode> error;
};

}  // namespace amaranthlatch::utils
