// Strict parsing of service documents. Do not change the error messages: see ErrorSink.

#include "amaranthlatch/document/document_parser.h"

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "amaranthlatch/document/json_guard.h"
#include "object_reader.h"
#include "text_rules.h"

namespace amaranthlatch::document {

namespace {

using details::ErrorSink;
using details::ObjectReader;
using details::ReadString;
using nlohmann::json;
using utils::ErrorCode;

constexpr std::array<std::string_view, kPriorityCount> kPriorityNames = {"internal", "interactive",
                                                                         "normal", "batch"};
constexpr std::array<std::string_view, 3> kPreferenceNames = {"zone", "region", "none"};

template <typename Enum, std::size_t kCount>
Enum ReadEnum(const ObjectReader& reader, std::string_view field,
              const std::array<std::string_view, kCount>& names, Enum default_value) {
  const json* found = reader.Optional(field);
  if (found == nullptr) {
    return default_value;
  }
  if (!found->is_string()) {
    reader.Fail(ErrorCode::kDocumentWrongType, "must be a string", field);
    return default_value;
  }
  const auto& text = found->get_ref<const std::string&>();
  const auto* name = std::find(names.begin(), names.end(), text);
  if (name != names.end()) {
    return static_cast<Enum>(name - names.begin());
  }
  std::string message = Quote(text) + " must be one of";
  for (const std::string_view allowed : names) {
    message.append(" ").append(allowed);
  }
  reader.Fail(ErrorCode::kDocumentOutOfRange, std::move(message), field);
  return default_value;
}

std::string ElementPointer(const std::string& array, std::size_t index) {
  return array + "/" + std::to_string(index);
}

std::vector<std::string> ReadUniqueStrings(const ObjectReader& reader, std::string_view field,
                                           std::size_t max, details::StringPredicate rule,
                                           std::string_view requirement, ErrorSink& sink) {
  std::vector<std::string> texts;
  std::set<std::string> seen;
  for (const json& element : reader.Array(field, max)) {
    const std::string pointer = ElementPointer(reader.PointerTo(field), texts.size());
    texts.push_back(ReadString(element, pointer, sink, rule, requirement));
    if (!seen.insert(texts.back()).second) {
      sink.Add(ErrorCode::kDocumentDuplicateName, "occurs twice", pointer);
    }
  }
  return texts;
}

Labels ReadLabels(const ObjectReader& reader, ErrorSink& sink) {
  Labels labels;
  const json* found = reader.Required("labels");
  if (found == nullptr) {
    return labels;
  }
  if (!found->is_object()) {
    reader.Fail(ErrorCode::kDocumentWrongType, "must be an object", "labels");
    return labels;
  }
  if (found->size() > kMaxLabels) {
    reader.Fail(ErrorCode::kDocumentOutOfRange, "at most " + std::to_string(kMaxLabels) + " labels",
                "labels");
    return labels;
  }
  for (const auto& [key, value] : found->items()) {
    const std::string pointer = reader.PointerTo("labels") + "/" + EscapePointerToken(key);
    if (!details::IsLabel(key)) {
      sink.Add(ErrorCode::kDocumentOutOfRange,
               "the key must be " + std::string(details::kLabelRequirement), pointer);
    }
    labels[key] = ReadString(value, pointer, sink, details::IsLabel, details::kLabelRequirement);
  }
  return labels;
}

std::map<std::string, VersionSelector> ReadVersions(const ObjectReader& reader, ErrorSink& sink) {
  std::map<std::string, VersionSelector> versions;
  const json* found = reader.Required("versions");
  if (found == nullptr) {
    return versions;
  }
  if (!found->is_object()) {
    reader.Fail(ErrorCode::kDocumentWrongType, "must be an object", "versions");
    return versions;
  }
  if (found->empty() || found->size() > kMaxVersions) {
    reader.Fail(ErrorCode::kDocumentOutOfRange,
                "must define 1 to " + std::to_string(kMaxVersions) + " versions", "versions");
    return versions;
  }
  for (const auto& [name, value] : found->items()) {
    const std::string pointer = reader.PointerTo("versions") + "/" + EscapePointerToken(name);
    if (!IsName(name)) {
      sink.Add(ErrorCode::kDocumentOutOfRange,
               "the name must be " + std::string(details::kNameRequirement), pointer);
    }
    const ObjectReader selector(value, pointer, sink, {"labels"});
    versions[name] = VersionSelector{ReadLabels(selector, sink)};
  }
  return versions;
}

// Document fields needed to parse its routes.
struct RouteContext {
  const std::string& service;
  const std::map<std::string, VersionSelector>& versions;
  ErrorSink& sink;
};

SplitTarget ReadSplitTarget(const json& value, const std::string& pointer,
                            const RouteContext& context) {
  const ObjectReader reader(value, pointer, context.sink, {"service", "version", "weight"});
  SplitTarget target;
  target.service = context.service;
  if (reader.Optional("service") != nullptr) {
    target.service = reader.Text("service", IsName, details::kNameRequirement);
  }
  target.version = reader.Text("version", IsName, details::kNameRequirement);
  target.weight = static_cast<std::uint32_t>(reader.RequiredNumber("weight", kWeightRange));
  if (target.service == context.service && !context.versions.contains(target.version)) {
    reader.Fail(ErrorCode::kDocumentUnknownVersion,
                Quote(target.version) + " is not a version of this document", "version");
  }
  return target;
}

std::vector<SplitTarget> ReadSplit(const ObjectReader& route, const RouteContext& context) {
  std::vector<SplitTarget> split;
  if (route.Required("split") == nullptr) {
    return split;
  }
  std::set<std::pair<std::string, std::string>> seen;
  std::uint64_t total_weight = 0;
  for (const json& element : route.Array("split", kMaxSplitTargets)) {
    const std::string pointer = ElementPointer(route.PointerTo("split"), split.size());
    const SplitTarget target = ReadSplitTarget(element, pointer, context);
    total_weight += target.weight;
    if (!seen.emplace(target.service, target.version).second) {
      context.sink.Add(ErrorCode::kDocumentDuplicateName, "the target occurs twice", pointer);
    }
    split.push_back(target);
  }
  if (total_weight == 0) {
    route.Fail(ErrorCode::kDocumentOutOfRange, "needs a target with a weight above 0", "split");
  }
  return split;
}

Route ReadRoute(const json& value, const std::string& pointer, const RouteContext& context) {
  const ObjectReader reader(
      value, pointer, context.sink,
      {"name", "path_prefix", "methods", "split", "idempotent", "permit_required", "priority",
       "deadline_ms", "max_request_bytes", "max_response_bytes"});
  Route route;
  route.name = reader.Text("name", IsName, details::kNameRequirement);
  route.path_prefix =
      reader.Text("path_prefix", details::IsPathPrefix, details::kPathPrefixRequirement);
  route.methods = ReadUniqueStrings(reader, "methods", kMaxMethods, details::IsMethod,
                                    details::kMethodRequirement, context.sink);
  route.split = ReadSplit(reader, context);
  route.idempotent = reader.Flag("idempotent", false);
  route.permit_required = reader.Flag("permit_required", false);
  route.priority = ReadEnum(reader, "priority", kPriorityNames, Priority::kNormal);
  route.deadline = utils::Milliseconds(
      static_cast<std::int64_t>(reader.Number("deadline_ms", kDeadlineMsRange)));
  route.max_request_bytes = reader.Number("max_request_bytes", kMaxRequestBytesRange);
  route.max_response_bytes = reader.Number("max_response_bytes", kMaxResponseBytesRange);
  return route;
}

std::vector<Route> ReadRoutes(const ObjectReader& reader, const RouteContext& context) {
  std::vector<Route> routes;
  std::set<std::string> names;
  for (const json& element : reader.Array("routes", kMaxRoutes)) {
    const std::string pointer = ElementPointer(reader.PointerTo("routes"), routes.size());
    routes.push_back(ReadRoute(element, pointer, context));
    if (!names.insert(routes.back().name).second) {
      context.sink.Add(ErrorCode::kDocumentDuplicateName, "another route has this name",
                       pointer + "/name");
    }
  }
  return routes;
}

std::uint32_t ReadCount(const ObjectReader& reader, std::string_view field,
                        const NumberRange& rule) {
  return static_cast<std::uint32_t>(reader.Number(field, rule));
}

utils::Duration ReadMilliseconds(const ObjectReader& reader, std::string_view field,
                                 const NumberRange& rule) {
  return utils::Milliseconds(static_cast<std::int64_t>(reader.Number(field, rule)));
}

const json& ObjectOrEmpty(const json* value) {
  static const json empty = json::object();
  return value == nullptr ? empty : *value;
}

Protection ReadProtection(const ObjectReader& document, ErrorSink& sink) {
  const ObjectReader reader(ObjectOrEmpty(document.Optional("protection")), "/protection", sink,
                            {"slots", "connections", "queue_length", "queue_ms",
                             "retry_budget_percent", "max_attempts", "slow_start_ms"});
  Protection protection;
  protection.slots = ReadCount(reader, "slots", kSlotsRange);
  protection.connections = ReadCount(reader, "connections", kConnectionsRange);
  protection.queue_length = ReadCount(reader, "queue_length", kQueueLengthRange);
  protection.queue_time = ReadMilliseconds(reader, "queue_ms", kQueueMsRange);
  protection.retry_budget_percent =
      ReadCount(reader, "retry_budget_percent", kRetryBudgetPercentRange);
  protection.max_attempts = ReadCount(reader, "max_attempts", kMaxAttemptsRange);
  protection.slow_start = ReadMilliseconds(reader, "slow_start_ms", kSlowStartMsRange);
  return protection;
}

Locality ReadLocality(const ObjectReader& document, ErrorSink& sink) {
  const ObjectReader reader(ObjectOrEmpty(document.Optional("locality")), "/locality", sink,
                            {"prefer", "spill_load_percent"});
  Locality locality;
  locality.prefer = ReadEnum(reader, "prefer", kPreferenceNames, LocalityPreference::kZone);
  locality.spill_load_percent = ReadCount(reader, "spill_load_percent", kSpillLoadPercentRange);
  return locality;
}

// Runs before other checks because the format determines how all other fields are parsed.
std::optional<utils::Error> CheckFormat(const json& value) {
  if (!value.is_object()) {
    return utils::Error{ErrorCode::kDocumentWrongType, "must be an object", ""};
  }
  const auto format = value.find("format");
  if (format == value.end()) {
    return utils::Error{ErrorCode::kDocumentMissingField, "required field is absent", "/format"};
  }
  if (!format->is_number_integer()) {
    return utils::Error{ErrorCode::kDocumentWrongType, "must be a whole number", "/format"};
  }
  if (*format != kDocumentFormat) {
    return utils::Error{ErrorCode::kDocumentUnknownFormat,
                        "this release knows format " + std::to_string(kDocumentFormat), "/format"};
  }
  return std::nullopt;
}

utils::Result<ServiceDocument> TooLarge() {
  return utils::Fail(ErrorCode::kDocumentTooLarge,
                     "larger than " + std::to_string(kMaxDocumentBytes) + " bytes");
}

}  // namespace

utils::Result<ServiceDocument> FromJson(const json& value) {
  if (const auto error = CheckFormat(value)) {
    return tl::unexpected(*error);
  }
  ErrorSink sink;
  const ObjectReader reader(
      value, "", sink,
      {"format", "service", "owner", "hosts", "versions", "routes", "protection", "locality"});
  ServiceDocument document;
  document.service = reader.Text("service", IsName, details::kNameRequirement);
  document.owner = reader.Text("owner", details::IsOwner, details::kOwnerRequirement);
  document.hosts = ReadUniqueStrings(reader, "hosts", kMaxHosts, details::IsHost,
                                     details::kHostRequirement, sink);
  document.versions = ReadVersions(reader, sink);
  document.routes = ReadRoutes(reader, RouteContext{document.service, document.versions, sink});
  document.protection = ReadProtection(reader, sink);
  document.locality = ReadLocality(reader, sink);
  if (sink.First()) {
    return tl::unexpected(*sink.First());
  }
  // Serializing is safe only now: a validated value has bounded depth and valid UTF-8 strings.
  if (value.dump().size() > kMaxDocumentBytes) {
    return TooLarge();
  }
  return document;
}

utils::Result<ServiceDocument> ParseDocument(std::string_view text) {
  if (text.size() > kMaxDocumentBytes) {
    return TooLarge();
  }
  return ParseJsonText(text).and_then(FromJson);
}

std::string_view ToString(Priority priority) {
  return kPriorityNames.at(static_cast<std::size_t>(priority));
}

std::string_view ToString(LocalityPreference preference) {
  return kPreferenceNames.at(static_cast<std::size_t>(preference));
}

}  // namespace amaranthlatch::document
