// Conversion of publish records to and from JSON.

#include "amaranthlatch/acceptance/publish_record.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>

#include "amaranthlatch/document/document_limits.h"
#include "amaranthlatch/document/document_parser.h"
#include "amaranthlatch/document/json_guard.h"

namespace amaranthlatch::acceptance {

namespace {

using nlohmann::json;
using utils::ErrorCode;

constexpr std::array<std::string_view, 8> kRecordFields = {
    "format", "publish_id",   "service", "base_version",
    "author", "published_at", "action",  "document"};

tl::unexpected<utils::Error> Malformed(std::string message, std::string pointer = {}) {
  return utils::Fail(ErrorCode::kRecordMalformed, std::move(message), std::move(pointer));
}

bool IsIntegerAtLeast(const json& value, std::uint64_t minimum) {
  if (!value.is_number_integer()) {
    return false;
  }
  const bool is_negative = !value.is_number_unsigned() && value.get<std::int64_t>() < 0;
  return !is_negative && value.get<std::uint64_t>() >= minimum;
}

bool IsPublishId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxPublishIdLength &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

bool IsAuthor(std::string_view text) {
  return !text.empty() && text.size() <= kMaxAuthorLength && document::IsPrintableUtf8(text);
}

bool IsPublishedAt(std::string_view text) {
  return !text.empty() && text.size() <= kMaxPublishedAtLength && document::IsPrintableUtf8(text);
}

utils::Result<std::string> ReadString(const json& record, const char* field,
                                      bool (*is_valid)(std::string_view)) {
  const std::string pointer = std::string("/") + field;
  const auto found = record.find(field);
  if (found == record.end() || !found->is_string()) {
    return Malformed("must be a string", pointer);
  }
  const auto& text = found->get_ref<const std::string&>();
  if (!is_valid(text)) {
    return Malformed(document::Quote(text) + " is not allowed here", pointer);
  }
  return text;
}

std::optional<utils::Error> CheckFormatAndFieldNames(const json& record) {
  if (!record.is_object()) {
    return utils::Error{ErrorCode::kRecordMalformed, "must be an object", ""};
  }
  const auto format = record.find("format");
  if (format == record.end() || !IsIntegerAtLeast(*format, 1)) {
    return utils::Error{ErrorCode::kRecordMalformed, "must be a whole number above 0", "/format"};
  }
  if (*format != kRecordFormat) {
    return utils::Error{ErrorCode::kRecordUnknownFormat,
                        "this release knows format " + std::to_string(kRecordFormat), "/format"};
  }
  for (const auto& [key, field] : record.items()) {
    if (std::find(kRecordFields.begin(), kRecordFields.end(), key) == kRecordFields.end()) {
      return utils::Error{ErrorCode::kRecordMalformed, "unknown field",
                          "/" + document::EscapePointerToken(key)};
    }
  }
  return std::nullopt;
}

utils::Result<document::Version> ReadBaseVersion(const json& record) {
  const auto found = record.find("base_version");
  if (found == record.end() || !(found->is_null() || IsIntegerAtLeast(*found, 1))) {
    return Malformed("must be null or a whole number above 0", "/base_version");
  }
  return found->is_null() ? document::Version{0} : found->get<document::Version>();
}

utils::Result<Action> ReadAction(const json& record) {
  const auto found = record.find("action");
  for (const Action action : {Action::kPut, Action::kRemove}) {
    if (found != record.end() && *found == ToString(action)) {
      return action;
    }
  }
  return Malformed("must be \"put\" or \"remove\"", "/action");
}

utils::Result<json> ReadDocument(const json& record, Action action) {
  const auto found = record.find("document");
  const bool is_absent = found == record.end() || found->is_null();
  if (action == Action::kRemove) {
    if (!is_absent) {
      return Malformed("a removal has no document", "/document");
    }
    return json();
  }
  if (is_absent) {
    return Malformed("required field is absent", "/document");
  }
  if (!document::IsDepthWithin(*found, document::kMaxJsonDepth)) {
    return Malformed("nested too deep", "/document");
  }
  return *found;
}

}  // namespace

json ToJson(const PublishRecord& record) {
  json value = {{"format", kRecordFormat},          {"publish_id", record.publish_id},
                {"service", record.service},        {"base_version", nullptr},
                {"author", record.author},          {"published_at", record.published_at},
                {"action", ToString(record.action)}};
  if (record.base_version != 0) {
    value["base_version"] = record.base_version;
  }
  if (record.action == Action::kPut) {
    value["document"] = record.document;
  }
  return value;
}

utils::Result<PublishRecord> ParsePublishRecord(const json& value) {
  if (const auto error = CheckFormatAndFieldNames(value)) {
    return tl::unexpected(*error);
  }
  auto publish_id = ReadString(value, "publish_id", IsPublishId);
  auto service = ReadString(value, "service", document::IsName);
  auto author = ReadString(value, "author", IsAuthor);
  auto published_at = ReadString(value, "published_at", IsPublishedAt);
  for (const auto* text : {&publish_id, &service, &author, &published_at}) {
    if (!text->has_value()) {
      return tl::unexpected(text->error());
    }
  }
  const auto base_version = ReadBaseVersion(value);
  if (!base_version) {
    return tl::unexpected(base_version.error());
  }
  const auto action = ReadAction(value);
  if (!action) {
    return tl::unexpected(action.error());
  }
  auto document = ReadDocument(value, *action);
  if (!document) {
    return tl::unexpected(document.error());
  }
  return PublishRecord{std::move(*publish_id), std::move(*service),      *base_version,
                       std::move(*author),     std::move(*published_at), *action,
                       std::move(*document)};
}

std::string_view ToString(Action action) { return action == Action::kPut ? "put" : "remove"; }

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAccepted:
      return "accepted";
    case Outcome::kDuplicate:
      return "duplicate";
    case Outcome::kRefused:
      break;
  }
  return "refused";
}

}  // namespace amaranthlatch::acceptance
