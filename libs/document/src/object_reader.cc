// Validated access to the fields of one JSON object. Do not change the error messages: see
// ErrorSink.

#include "object_reader.h"

#include <algorithm>
#include <utility>

#include "amaranthlatch/document/json_guard.h"

namespace amaranthlatch::document::details {

namespace {
using nlohmann::json;
using utils::ErrorCode;

const json& EmptyArray() {
  static const json empty = json::array();
  return empty;
}
}  // namespace

void ErrorSink::Add(ErrorCode code, std::string message, std::string pointer) {
  if (!this->first) {
    this->first = utils::Error{code, std::move(message), std::move(pointer)};
  }
}

ObjectReader::ObjectReader(const json& value, std::string pointer, ErrorSink& sink,
                           std::initializer_list<std::string_view> known)
    : value(value), pointer(std::move(pointer)), sink(sink), is_object(value.is_object()) {
  if (!this->is_object) {
    sink.Add(ErrorCode::kDocumentWrongType, "must be an object", this->pointer);
    return;
  }
  for (const auto& [key, field] : value.items()) {
    if (std::find(known.begin(), known.end(), key) == known.end()) {
      this->Fail(ErrorCode::kDocumentUnknownField, "unknown field", key);
    }
  }
}

std::string ObjectReader::PointerTo(std::string_view field) const {
  return this->pointer + "/" + EscapePointerToken(field);
}

const json* ObjectReader::Optional(std::string_view field) const {
  if (!this->is_object) {
    return nullptr;
  }
  const auto found = this->value.find(field);
  return found == this->value.end() ? nullptr : &*found;
}

const json* ObjectReader::Required(std::string_view field) const {
  const json* found = this->Optional(field);
  if (found == nullptr) {
    this->Fail(ErrorCode::kDocumentMissingField, "required field is absent", field);
  }
  return found;
}

std::string ObjectReader::Text(std::string_view field, StringPredicate rule,
                               std::string_view requirement) const {
  const json* found = this->Required(field);
  return found == nullptr
             ? std::string()
             : ReadString(*found, this->PointerTo(field), this->sink, rule, requirement);
}

std::uint64_t ObjectReader::Number(std::string_view field, const NumberRange& rule) const {
  const json* found = this->Optional(field);
  return found == nullptr ? rule.default_value : this->ValidateNumber(*found, field, rule);
}

std::uint64_t ObjectReader::RequiredNumber(std::string_view field, const NumberRange& rule) const {
  const json* found = this->Required(field);
  return found == nullptr ? rule.default_value : this->ValidateNumber(*found, field, rule);
}

std::uint64_t ObjectReader::ValidateNumber(const json& number, std::string_view field,
                                           const NumberRange& rule) const {
  if (!number.is_number_integer()) {
    this->Fail(ErrorCode::kDocumentWrongType, "must be a whole number", field);
    return rule.default_value;
  }
  const bool is_negative = !number.is_number_unsigned() && number.get<std::int64_t>() < 0;
  const std::uint64_t amount = is_negative ? 0 : number.get<std::uint64_t>();
  if (is_negative || amount < rule.low || amount > rule.high) {
    std::string message = "must be between " + std::to_string(rule.low);
    message.append(" and ").append(std::to_string(rule.high));
    this->Fail(ErrorCode::kDocumentOutOfRange, std::move(message), field);
    return rule.default_value;
  }
  return amount;
}

bool ObjectReader::Flag(std::string_view field, bool default_value) const {
  const json* found = this->Optional(field);
  if (found == nullptr) {
    return default_value;
  }
  if (!found->is_boolean()) {
    this->Fail(ErrorCode::kDocumentWrongType, "must be true or false", field);
    return default_value;
  }
  return found->get<bool>();
}

const json& ObjectReader::Array(std::string_view field, std::size_t max) const {
  const json* found = this->Optional(field);
  if (found == nullptr) {
    return EmptyArray();
  }
  if (!found->is_array()) {
    this->Fail(ErrorCode::kDocumentWrongType, "must be an array", field);
    return EmptyArray();
  }
  if (found->size() > max) {
    this->Fail(ErrorCode::kDocumentOutOfRange, "at most " + std::to_string(max) + " elements",
               field);
    return EmptyArray();
  }
  return *found;
}

void ObjectReader::Fail(ErrorCode code, std::string message, std::string_view field) const {
  this->sink.Add(code, std::move(message), this->PointerTo(field));
}

std::string ReadString(const json& value, const std::string& pointer, ErrorSink& sink,
                       StringPredicate rule, std::string_view requirement) {
  if (!value.is_string()) {
    sink.Add(ErrorCode::kDocumentWrongType, "must be a string", pointer);
    return {};
  }
  const auto& text = value.get_ref<const std::string&>();
  if (!rule(text)) {
    sink.Add(ErrorCode::kDocumentOutOfRange,
             Quote(text).append(" must be ").append(std::string(requirement)), pointer);
    return {};
  }
  return text;
}

}  // namespace amaranthlatch::document::details
