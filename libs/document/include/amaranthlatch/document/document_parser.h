// Strict parsing and canonical serialization of service documents.

#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::document {

// Errors have a code from 1000 to 1999 and the JSON pointer of the first invalid field. Messages
// are part of the replicated state: see ErrorSink before changing one.
utils::Result<ServiceDocument> ParseDocument(std::string_view text);
utils::Result<ServiceDocument> FromJson(const nlohmann::json& value);

// Writes every field of the document format, including those that were absent and have a default.
// Not written, because the format has no such fields: Route::strict_split, Route::max_attempts and
// Route::target_latency. FromJson sets them to their defaults, so it parses the result to an equal
// document only if they have these. FromJson refuses a result above kMaxDocumentBytes; filling in
// defaults can exceed this limit.
nlohmann::json ToJson(const ServiceDocument& document);

// Whether the text is a valid name of a service, version or route: 1 to 63 characters of a-z, 0-9
// and '-', starting and ending with a letter or digit.
bool IsName(std::string_view text);

std::string_view ToString(Priority priority);
std::string_view ToString(LocalityPreference preference);

}  // namespace amaranthlatch::document
