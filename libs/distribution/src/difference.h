// Entries as differences: a JSON patch against the document that the record replaces.

#pragma once

#include <nlohmann/json.hpp>

#include "amaranthlatch/acceptance/state.h"
#include "amaranthlatch/distribution/message.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::distribution::details {

// Hash of the record's CBOR form, which is the same on every node.
std::uint64_t HashRecord(const nlohmann::json& record);

// Bytes of the record's CBOR form.
std::size_t CborSize(const nlohmann::json& record);

Entry MakeFullEntry(Offset offset, const nlohmann::json& record);

// Uses a difference against `before`, the state that the record is applied to, where that is
// smaller than the whole record and gives it back exactly.
Entry MakeEntry(Offset offset, const nlohmann::json& record, const acceptance::State& before);

// Fails with kPatchMismatch where the difference does not give the expected record.
utils::Result<nlohmann::json> RestoreRecord(const Entry& entry, const acceptance::State& before);

}  // namespace amaranthlatch::distribution::details
