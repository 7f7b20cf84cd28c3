// Route lookup by path and method within one document, and the host and path normalization that
// lookups use.

#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "amaranthlatch/document/service_document.h"

namespace amaranthlatch::document {

// Converts a host to lower case and removes the port and the trailing dot.
std::string NormalizeHost(std::string_view host);

// Normalizes a path by RFC 3986 section 6.2.2: decodes percent-encoded unreserved characters,
// writes other encodings in upper case and removes dot segments. Also removes query, fragment and
// empty segments. Otherwise, a caller could spell a protected path differently, match the route of
// a shorter prefix and still reach the protected path at the backend server.
std::string NormalizePath(std::string_view path);

// Immutable index over the routes of one document. A lookup costs at most one hash table access for
// each '/' in the path, plus one.
class RouteMatcher {
 public:
  explicit RouteMatcher(std::shared_ptr<const ServiceDocument> document);

  const std::shared_ptr<const ServiceDocument>& Document() const { return this->document; }

  // Normalizes `path` and returns the route with the longest prefix among those that match the path
  // and accept the method; of several with this prefix, the first in the document. Null if none
  // matches.
  const Route* Match(std::string_view path, std::string_view method) const;

 private:
  struct TextHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming): std name.
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };

  std::shared_ptr<const ServiceDocument> document;
  // Routes by prefix, in document order; the pointers refer into `document`.
  std::unordered_map<std::string, std::vector<const Route*>, TextHash, std::equal_to<>>
      routes_by_prefix;

  const Route* MatchPrefix(std::string_view prefix, std::string_view method) const;
};

}  // namespace amaranthlatch::document
