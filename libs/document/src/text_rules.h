// Validation of the text fields of a document.

#pragma once

#include <string_view>

namespace amaranthlatch::document::details {

// Parts of error messages. Do not change them: see ErrorSink.
inline constexpr std::string_view kNameRequirement =
    "1 to 63 characters of a-z, 0-9 and '-', with a letter or digit at both ends";
inline constexpr std::string_view kOwnerRequirement =
    "1 to 128 bytes of text without control characters";
inline constexpr std::string_view kHostRequirement =
    "a host name in lower case without port, at most 253 characters";
inline constexpr std::string_view kPathPrefixRequirement =
    "a normalised absolute path without query, at most 512 characters; only \"/\" ends with '/'";
inline constexpr std::string_view kMethodRequirement = "1 to 20 letters A-Z";
inline constexpr std::string_view kLabelRequirement = "1 to 128 printable ASCII characters";

bool IsOwner(std::string_view text);
bool IsHost(std::string_view text);
bool IsPathPrefix(std::string_view text);
bool IsMethod(std::string_view text);
bool IsLabel(std::string_view text);

}  // namespace amaranthlatch::document::details
