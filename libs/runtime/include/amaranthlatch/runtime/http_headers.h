// Header fields that concern one connection only (RFC 9110 section 7.6.1).

#pragma once

#include <string>
#include <string_view>

#include "amaranthlatch/calls/request.h"

namespace amaranthlatch::runtime {

std::string ToLowerCase(std::string_view text);

// Removes hop-by-hop fields and those that the Connection field names. Names are in lower case.
void RemoveHopByHopFields(calls::Headers& headers);

// The first value of the field, or an empty text.
std::string_view FindField(const calls::Headers& headers, std::string_view name);

// Whether name and value may be written into a message: no control characters, no empty name.
bool IsValidField(std::string_view name, std::string_view value);

}  // namespace amaranthlatch::runtime
