// Validation of the text fields of a document.

#include "text_rules.h"

#include <algorithm>

#include "amaranthlatch/document/document_limits.h"
#include "amaranthlatch/document/document_parser.h"
#include "amaranthlatch/document/json_guard.h"
#include "amaranthlatch/document/route_matcher.h"

namespace amaranthlatch::document {

namespace {
bool IsLowerOrDigit(char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); }
}  // namespace

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength) {
    return false;
  }
  const bool all_allowed =
      std::all_of(text.begin(), text.end(), [](char c) { return c == '-' || IsLowerOrDigit(c); });
  return all_allowed && IsLowerOrDigit(text.front()) && IsLowerOrDigit(text.back());
}

namespace details {

bool IsOwner(std::string_view text) {
  return !text.empty() && text.size() <= kMaxOwnerLength && IsPrintableUtf8(text);
}

bool IsHost(std::string_view text) {
  if (text.size() > kMaxHostLength) {
    return false;
  }
  // Each label of the host name must be a valid name.
  for (;;) {
    const std::size_t dot = text.find('.');
    if (!IsName(text.substr(0, dot))) {
      return false;
    }
    if (dot == std::string_view::npos) {
      return true;
    }
    text.remove_prefix(dot + 1);
  }
}

bool IsPathPrefix(std::string_view text) {
  if (text.empty() || text.front() != '/' || text.size() > kMaxPathPrefixLength) {
    return false;
  }
  if (text.size() > 1 && text.back() == '/') {
    return false;
  }
  const bool all_allowed = std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c <= '~' && c != '?' && c != '#' && c != '"' && c != '\\';
  });
  return all_allowed && NormalizePath(text) == text;
}

bool IsMethod(std::string_view text) {
  return !text.empty() && text.size() <= kMaxMethodLength &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool IsLabel(std::string_view text) {
  return !text.empty() && text.size() <= kMaxLabelLength &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

}  // namespace details

}  // namespace amaranthlatch::document
