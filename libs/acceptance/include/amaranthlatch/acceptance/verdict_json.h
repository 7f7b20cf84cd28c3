// Verdicts as JSON objects for the audit trail of a node and the command line.

#pragma once

#include <nlohmann/json.hpp>

#include "amaranthlatch/acceptance/record.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::acceptance {

// `{"outcome","code","name","message","pointer","offset","service","publish_id","author",
// "published_at","action","replaced"}`; `code` is the number and `name` the name of the result
// code.
nlohmann::json ToJson(const Verdict& verdict);

// Fails with kRecordMalformed.
utils::Result<Verdict> VerdictFromJson(const nlohmann::json& value);

}  // namespace amaranthlatch::acceptance
