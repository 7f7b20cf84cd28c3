// Route lookup, and normalization of hosts and paths.

#include "amaranthlatch/document/route_matcher.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace amaranthlatch::document {

namespace {

// Length of a percent-encoded character: '%' and two hexadecimal digits.
constexpr std::size_t kPercentEncodedLength = 3;

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

int HexValue(char c) {
  const char lower = ToLower(c);
  if (lower >= '0' && lower <= '9') {
    return lower - '0';
  }
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

bool IsUnreserved(char c) {
  const char lower = ToLower(c);
  return (lower >= 'a' && lower <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.' ||
         c == '_' || c == '~';
}

char ToUpper(char c) { return c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c; }

// Decodes the percent-encoded character at `position`, if there is one.
std::optional<char> DecodeAt(std::string_view text, std::size_t position) {
  if (text[position] != '%' || position + kPercentEncodedLength > text.size()) {
    return std::nullopt;
  }
  const int high = HexValue(text[position + 1]);
  const int low = HexValue(text[position + 2]);
  if (high < 0 || low < 0) {
    return std::nullopt;
  }
  return static_cast<char>(high * 16 + low);
}

// Decodes percent-encoded unreserved characters and writes the digits of other encodings in upper
// case.
std::string NormalizePercentEncoding(std::string_view text) {
  std::string normalized;
  normalized.reserve(text.size());
  for (std::size_t i = 0; i < text.size();) {
    const auto decoded = DecodeAt(text, i);
    if (!decoded) {
      normalized.push_back(text[i]);
      ++i;
      continue;
    }
    if (IsUnreserved(*decoded)) {
      normalized.push_back(*decoded);
    } else {
      normalized.append({'%', ToUpper(text[i + 1]), ToUpper(text[i + 2])});
    }
    i += kPercentEncodedLength;
  }
  return normalized;
}

std::string RemoveDotSegments(std::string_view path) {
  std::vector<std::string_view> segments;
  bool ends_with_slash = false;
  for (std::size_t start = 0; start <= path.size();) {
    const std::size_t end = std::min(path.find('/', start), path.size());
    const std::string_view segment = path.substr(start, end - start);
    ends_with_slash = segment.empty() || segment == "." || segment == "..";
    if (segment == ".." && !segments.empty()) {
      segments.pop_back();
    } else if (!ends_with_slash) {
      segments.push_back(segment);
    }
    start = end + 1;
  }
  std::string result;
  for (const std::string_view segment : segments) {
    result.append("/").append(segment);
  }
  return ends_with_slash || result.empty() ? result.append("/") : result;
}

}  // namespace

std::string NormalizeHost(std::string_view host) {
  const std::size_t bracket = host.rfind(']');
  const std::size_t colon = host.find(':', bracket == std::string_view::npos ? 0 : bracket);
  host = host.substr(0, colon);
  if (!host.empty() && host.back() == '.') {
    host.remove_suffix(1);
  }
  std::string lower(host);
  std::transform(lower.begin(), lower.end(), lower.begin(), ToLower);
  return lower;
}

std::string NormalizePath(std::string_view path) {
  path = path.substr(0, path.find_first_of("?#"));
  const bool is_encoded = path.find('%') != std::string_view::npos;
  std::string normalized = is_encoded ? NormalizePercentEncoding(path) : std::string(path);
  const bool is_normalized = !normalized.empty() && normalized.front() == '/' &&
                             normalized.find("//") == std::string::npos &&
                             normalized.find("/.") == std::string::npos;
  return is_normalized ? normalized : RemoveDotSegments(normalized);
}

RouteMatcher::RouteMatcher(std::shared_ptr<const ServiceDocument> document)
    : document(std::move(document)) {
  for (const Route& route : this->document->routes) {
    this->routes_by_prefix[route.path_prefix].push_back(&route);
  }
}

const Route* RouteMatcher::Match(std::string_view path, std::string_view method) const {
  const std::string normalized = NormalizePath(path);
  std::string_view prefix = normalized;
  while (prefix.size() > 1) {
    if (const Route* route = this->MatchPrefix(prefix, method)) {
      return route;
    }
    prefix = prefix.substr(0, prefix.rfind('/'));
  }
  return this->MatchPrefix("/", method);
}

const Route* RouteMatcher::MatchPrefix(std::string_view prefix, std::string_view method) const {
  const auto found = this->routes_by_prefix.find(prefix);
  if (found == this->routes_by_prefix.end()) {
    return nullptr;
  }
  for (const Route* route : found->second) {
    const auto& methods = route->methods;
    if (methods.empty() || std::find(methods.begin(), methods.end(), method) != methods.end()) {
      return route;
    }
  }
  return nullptr;
}

}  // namespace amaranthlatch::document
