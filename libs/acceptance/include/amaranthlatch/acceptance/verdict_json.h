// Conversion of verdicts to and from JSON objects, for a node's audit trail and the command line.

#pragma once

#include <nlohmann/json.hpp>

#include "amaranthlatch/acceptance/record.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::acceptance {

// `{"outcome","code","name","message","pointer","offset","service","publish_id","author",
// "published_at","action","replaced"}`; `code` is the number of the result code, `name` its name.
nlohmann::json ToJson(const Verdict& verdict);

// Fails with kRecordMalformed.
utils::Result<Verdict> VerdictFromJson(const nlohmann::json& value);

}  // namespace amaranthlatch::acceptance
