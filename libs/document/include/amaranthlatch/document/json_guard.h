// Bounded decoding of untrusted JSON text and CBOR. Rejects deep nesting, because the JSON library
// recurses into nested values when it copies or serializes them and when it decodes CBOR. Rejects
// duplicate keys, because the library would silently keep the last value.

#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::document {

// Fails with kDocumentNotJson (syntax, nesting depth) or kDocumentDuplicateName (duplicate key).
utils::Result<nlohmann::json> ParseJsonText(std::string_view text);

// The checks of ParseJsonText, without building the value.
utils::Result<void> CheckJsonText(std::string_view text);

// Fails with the code `malformed` for any invalid input.
utils::Result<nlohmann::json> ParseCbor(std::string_view bytes, utils::ErrorCode malformed);

// Whether arrays and objects are nested at most `limit` deep.
bool IsDepthWithin(const nlohmann::json& value, std::size_t limit);

// Whether the bytes are valid UTF-8 without ASCII control characters.
bool IsPrintableUtf8(std::string_view text);

// Quotes text for an error message: truncates it to 64 bytes and replaces bytes other than
// printable ASCII with '?'.
std::string Quote(std::string_view text);

// Escapes a key as a JSON pointer reference token (RFC 6901), truncated to 64 bytes. Bytes other
// than printable ASCII become '?'.
std::string EscapePointerToken(std::string_view key);

}  // namespace amaranthlatch::document
