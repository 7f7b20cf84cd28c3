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

// Position in the `config` stream; the first record has offset 1, 0 means before it.
using Offset = std::uint64_t;

// The newest record format this release knows.
inline constexpr std::uint32_t kRecordFormat = 1;

enum class Action : std::uint8_t { kPut, kRemove };

enum class Outcome : std::uint8_t { kAccepted, kDuplicate, kRefused };

// The answer to one publish record.
struct Verdict {
  Outcome outcome = Outcome::kRefused;
  utils::ErrorCode code = utils::ErrorCode::kOk;
  std::string message;
  // JSON pointer into the document, or into the record for kRecordMalformed; empty where none
  // applies.
  std::string pointer;
  // Of the record; for kDuplicate that of the first record with the publish id.
  Offset offset = 0;
  // Empty for a malformed record, as are the next three.
  std::string service;
  std::string publish_id;
  std::string author;
  std::string published_at;
  Action action = Action::kPut;
  // The version that was in force before; 0 for none.
  document::Version replaced = 0;

  bool operator==(const Verdict&) const = default;
};

}  // namespace amaranthlatch::acceptance
