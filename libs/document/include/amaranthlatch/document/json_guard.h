// Bounded decoding of JSON text and CBOR from outside the process. The JSON library recurses over
// nested values when it copies or writes them and when it reads CBOR, and keeps the last of two
// equal keys; both are refused here.

#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::document {

// Fails with kDocumentNotJson (syntax, nesting) or kDocumentDuplicateName (a key occurs twice).
utils::Result<nlohmann::json> ParseJsonText(std::string_view text);

// Fails with `malformed`.
utils::Result<nlohmann::json> ParseCbor(std::string_view bytes, utils::ErrorCode malformed);

// Whether arrays and objects are nested at most `limit` deep.
bool IsDepthWithin(const nlohmann::json& value, std::size_t limit);

// Whether the bytes are UTF-8 without control characters.
bool IsPrintableUtf8(std::string_view text);

// The text in quotes for an error message: at most 64 bytes, other than printable ASCII as '?'.
std::string Quote(std::string_view text);

// One reference token of a JSON pointer, escaped; not printable ASCII becomes '?'.
std::string EscapePointerToken(std::string_view key);

}  // namespace amaranthlatch::document
