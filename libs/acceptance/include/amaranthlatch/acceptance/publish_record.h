// Conversion of publish records, the values of the log's `config` stream, to and from JSON.

#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "amaranthlatch/acceptance/record.h"
#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::acceptance {

inline constexpr std::size_t kMaxPublishIdLength = 128;
inline constexpr std::size_t kMaxAuthorLength = 128;
inline constexpr std::size_t kMaxPublishedAtLength = 64;

struct PublishRecord {
  std::string publish_id;
  std::string service;
  // The version in force on which the change is based. 0 for none, which is null in JSON.
  document::Version base_version = 0;
  std::string author;
  std::string published_at;
  Action action = Action::kPut;
  // Not validated. Null for kRemove.
  nlohmann::json document;

  bool operator==(const PublishRecord&) const = default;
};

nlohmann::json ToJson(const PublishRecord& record);

// Fails with kRecordUnknownFormat for another format number, or with kRecordMalformed and the JSON
// pointer to the invalid field. Does not validate the document, but limits its nesting depth.
utils::Result<PublishRecord> ParsePublishRecord(const nlohmann::json& value);

std::string_view ToString(Action action);
std::string_view ToString(Outcome outcome);

}  // namespace amaranthlatch::acceptance
