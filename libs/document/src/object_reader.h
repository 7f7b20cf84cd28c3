// Validated access to the fields of one JSON object. All readers of a document share one error
// sink, which keeps the first error. After an error, reading continues with default values.

#pragma once

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "amaranthlatch/document/document_limits.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::document::details {

// Do not change the text of any message, nor the order of checks, which decides the error that is
// kept. A document that does not parse becomes a refused verdict, and the text of a verdict is part
// of the state hash and of snapshots: nodes of different releases must produce the same text.
class ErrorSink {
 public:
  // Keeps the first error only.
  void Add(utils::ErrorCode code, std::string message, std::string pointer);
  const std::optional<utils::Error>& First() const { return this->first; }

 private:
  std::optional<utils::Error> first;
};

using StringPredicate = bool (*)(std::string_view);

class ObjectReader {
 public:
  // Reports an error if the value is not an object or has fields that are not in `known`.
  ObjectReader(const nlohmann::json& value, std::string pointer, ErrorSink& sink,
               std::initializer_list<std::string_view> known);

  bool IsObject() const { return this->is_object; }
  std::string PointerTo(std::string_view field) const;

  // Null if the field is absent; Required() also reports an error.
  const nlohmann::json* Required(std::string_view field) const;
  const nlohmann::json* Optional(std::string_view field) const;

  // The string at a required field. `requirement` describes the values that `rule` accepts, for
  // the error message.
  std::string Text(std::string_view field, StringPredicate rule,
                   std::string_view requirement) const;
  std::uint64_t Number(std::string_view field, const NumberRange& rule) const;
  std::uint64_t RequiredNumber(std::string_view field, const NumberRange& rule) const;
  bool Flag(std::string_view field, bool default_value) const;

  // The array at an optional field, or an empty array. Reports an error above `max` elements.
  const nlohmann::json& Array(std::string_view field, std::size_t max) const;

  void Fail(utils::ErrorCode code, std::string message, std::string_view field) const;

 private:
  const nlohmann::json& value;
  std::string pointer;
  ErrorSink& sink;
  bool is_object = false;

  std::uint64_t ValidateNumber(const nlohmann::json& number, std::string_view field,
                               const NumberRange& rule) const;
};

// The string in `value`, or an empty string after reporting an error at `pointer`.
std::string ReadString(const nlohmann::json& value, const std::string& pointer, ErrorSink& sink,
                       StringPredicate rule, std::string_view requirement);

}  // namespace amaranthlatch::document::details
