// Publish records of the log's `config` stream and the verdicts on them.

#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/utils/error_code.h"

namespace amaranthlatch::acceptance {

// Position in the `config` stream. The first record has offset 1; 0 is the position before it.
using Offset = std::uint64_t;

// The record format that this release reads and writes.
inline constexpr std::uint32_t kRecordFormat = 1;

enum class Action : std::uint8_t { kPut, kRemove };

enum class Outcome : std::uint8_t { kAccepted, kDuplicate, kRefused };

// The result of validating one publish record.
struct Verdict {
  Outcome outcome = Outcome::kRefused;
  utils::ErrorCode code = utils::ErrorCode::kOk;
  std::string message;
  // JSON pointer into the document, or into the record for kRecordMalformed. Empty if none applies.
  std::string pointer;
  // Offset of the record. For kDuplicate, offset of the first record with the publish id.
  Offset offset = 0;
  // This and the next three fields are empty for a malformed record.
  std::string service;
  std::string publish_id;
  std::string author;
  std::string published_at;
  Action action = Action::kPut;
  // The version that was in force before the record. 0 for none.
  document::Version replaced = 0;

  bool operator==(const Verdict&) const = default;
};

}  // namespace amaranthlatch::acceptance
