// Reads the fields of one JSON object; the first error of a document is kept in a shared sink, and
// reading goes on with defaults after it.

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

class ErrorSink {
 public:
  // Keeps the first error only.
  void Add(utils::ErrorCode code, std::string message, std::string pointer);
  const std::optional<utils::Error>& First() const { return this->first; }

 private:
  std::optional<utils::Error> first;
};

using TextRule = bool (*)(std::string_view);

class ObjectReader {
 public:
  // Refuses a value that is no object and fields that are not in `known`.
  ObjectReader(const nlohmann::json& value, std::string pointer, ErrorSink& sink,
               std::initializer_list<std::string_view> known);

  bool IsObject() const { return this->is_object; }
  std::string PointerTo(std::string_view field) const;

  // Null for an absent field; a required one is an error then.
  const nlohmann::json* Required(std::string_view field) const;
  const nlohmann::json* Optional(std::string_view field) const;

  // `hint` tells in words what the rule allows.
  std::string Text(std::string_view field, TextRule rule, std::string_view hint) const;
  std::uint64_t Number(std::string_view field, const NumberRule& rule) const;
  std::uint64_t RequiredNumber(std::string_view field, const NumberRule& rule) const;
  bool Flag(std::string_view field, bool default_value) const;

  // The array at an optional field, or an empty one; an error above `max` elements.
  const nlohmann::json& Array(std::string_view field, std::size_t max) const;

  void Fail(utils::ErrorCode code, std::string message, std::string_view field) const;

 private:
  const nlohmann::json& value;
  std::string pointer;
  ErrorSink& sink;
  bool is_object = false;

  std::uint64_t NumberOf(const nlohmann::json& number, std::string_view field,
                         const NumberRule& rule) const;
};

// The text at `pointer`, or an empty one with an error.
std::string ReadText(const nlohmann::json& value, const std::string& pointer, ErrorSink& sink,
                     TextRule rule, std::string_view hint);

}  // namespace amaranthlatch::document::details
