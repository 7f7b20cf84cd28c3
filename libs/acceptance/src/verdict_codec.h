// Encoding of verdicts as JSON arrays for snapshots.

#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "amaranthlatch/acceptance/record.h"

namespace amaranthlatch::acceptance::details {

// `[offset, outcome, code, message, pointer, service, publish_id, author, published_at, action,
// replaced]`. The texts are part of the state hash, so a release that changes them must raise
// kSnapshotFormat.
nlohmann::json EncodeVerdict(const Verdict& verdict);

// Returns empty for an invalid value, including outcome kDuplicate, which is never stored.
std::optional<Verdict> DecodeVerdict(const nlohmann::json& value);

}  // namespace amaranthlatch::acceptance::details
