// Lookup of the route for a path and method within one document, and the normal forms of hosts and
// paths that lookups use.

#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "amaranthlatch/document/service_document.h"

namespace amaranthlatch::document {

// Lower case, without port and without the dot of an absolute name.
std::string NormalizeHost(std::string_view host);

// RFC 3986 section 6.2.2: without query and fragment, percent-encoded unreserved characters
// decoded, other encodings in upper case, dot segments and empty segments removed. Without this a
// caller could reach a protected path of the backend server through the route of a shorter prefix.
std::string NormalizePath(std::string_view path);

// Immutable index over the routes of one document. Cost of a lookup: one hash lookup for each
// segment of the path.
class RouteMatcher {
 public:
  explicit RouteMatcher(std::shared_ptr<const ServiceDocument> document);

  const std::shared_ptr<const ServiceDocument>& Document() const { return this->document; }

  // The route with the longest prefix among those that take the method, then document order; null
  // without one. `path` is normalised here.
  const Route* Match(std::string_view path, std::string_view method) const;

 private:
  struct TextHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming): std name.
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };

  std::shared_ptr<const ServiceDocument> document;
  // Routes of each prefix in document order; they point into `document`.
  std::unordered_map<std::string, std::vector<const Route*>, TextHash, std::equal_to<>> by_prefix;

  const Route* MatchPrefix(std::string_view prefix, std::string_view method) const;
};

}  // namespace amaranthlatch::document
