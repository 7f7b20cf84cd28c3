// Strict reading and canonical writing of service documents.

#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::document {

// Errors carry a code of the 1xxx range and the JSON pointer of the first field at fault.
utils::Result<ServiceDocument> ParseDocument(std::string_view text);
utils::Result<ServiceDocument> FromJson(const nlohmann::json& value);

// Writes every field, with defaults filled in; FromJson gives back an equal document.
nlohmann::json ToJson(const ServiceDocument& document);

// Whether the text is a name of a service, version or route: 1 to 63 of a-z, 0-9 and '-', with a
// letter or digit at both ends.
bool IsName(std::string_view text);

std::string_view ToString(Priority priority);
std::string_view ToString(LocalityPreference preference);

}  // namespace amaranthlatch::document
