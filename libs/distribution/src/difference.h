// Entry encoding as a JSON patch against the document that the record replaces.

#pragma once

#include <nlohmann/json.hpp>

#include "amaranthlatch/acceptance/state.h"
#include "amaranthlatch/distribution/message.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::distribution::details {

// Hash of the record's CBOR encoding, which is identical on every node.
std::uint64_t HashRecord(const nlohmann::json& record);

// Size of the record's CBOR encoding in bytes.
std::size_t CborSize(const nlohmann::json& record);

Entry MakeFullEntry(Offset offset, const nlohmann::json& record);

// Encodes the record as a patch against `before`, the state that it is applied to, if the patch is
// smaller than the full record and restores it exactly; otherwise in full.
Entry MakeEntry(Offset offset, const nlohmann::json& record, const acceptance::State& before);

// Fails with kPatchMismatch if the patch cannot be applied or the result has another hash.
utils::Result<nlohmann::json> RestoreRecord(const Entry& entry, const acceptance::State& before);

}  // namespace amaranthlatch::distribution::details
