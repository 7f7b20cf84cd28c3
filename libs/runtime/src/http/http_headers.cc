// Rules for header fields.

#include "amaranthlatch/runtime/http_headers.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <vector>

namespace amaranthlatch::runtime {

namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
};

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string> FieldsNamedByConnection(const calls::Headers& headers) {
  std::vector<std::string> names;
  for (const auto& [name, value] : headers) {
    if (name != "connection") {
      continue;
    }
    std::string_view rest = value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      names.push_back(ToLowerCase(Trim(rest.substr(0, comma))));
      rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
    }
  }
  return names;
}

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

bool IsForbiddenInValue(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return (byte < kFirstPrintable && c != '\t') || byte == kDelete;
}

bool IsTokenCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

}  // namespace

std::string ToLowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

void RemoveHopByHopFields(calls::Headers& headers) {
  const std::vector<std::string> named = FieldsNamedByConnection(headers);
  std::erase_if(headers, [&named](const auto& field) {
    return std::find(kHopByHop.begin(), kHopByHop.end(), field.first) != kHopByHop.end() ||
           std::find(named.begin(), named.end(), field.first) != named.end();
  });
}

std::string_view FindField(const calls::Headers& headers, std::string_view name) {
  const auto found = std::find_if(headers.begin(), headers.end(),
                                  [name](const auto& field) { return field.first == name; });
  return found == headers.end() ? std::string_view() : found->second;
}

bool IsValidField(std::string_view name, std::string_view value) {
  return !name.empty() && std::all_of(name.begin(), name.end(), IsTokenCharacter) &&
         std::none_of(value.begin(), value.end(), IsForbiddenInValue);
}

}  // namespace amaranthlatch::runtime
