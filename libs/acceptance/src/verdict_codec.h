// Verdicts as JSON arrays, for snapshots.

#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "amaranthlatch/acceptance/record.h"

namespace amaranthlatch::acceptance::details {

// `[offset, outcome, code, message, pointer, service, publish_id, author, published_at, action,
// replaced]`. The texts are part of the state hash: a release that changes them changes the hash
// and must raise kSnapshotFormat.
nlohmann::json VerdictToJson(const Verdict& verdict);

// Empty where the value has another shape. Verdicts of kind kDuplicate are never stored.
std::optional<Verdict> VerdictFromJson(const nlohmann::json& value);

}  // namespace amaranthlatch::acceptance::details
