// Read interface to the documents in force.

#pragma once

#include <memory>
#include <optional>
#include <string_view>

#include "amaranthlatch/document/service_document.h"

namespace amaranthlatch::document {

// The route selected for a request. `route` points into `document`, which keeps it alive.
struct RouteMatch {
  std::shared_ptr<const ServiceDocument> document;
  Version version = 0;
  const Route* route = nullptr;

  bool operator==(const RouteMatch&) const = default;
};

class RouteTable {
 public:
  virtual ~RouteTable() = default;

  // The route for a request, or nothing if none matches. Ignores a port in `host` and a query in
  // `path`.
  virtual std::optional<RouteMatch> Match(std::string_view host, std::string_view path,
                                          std::string_view method) const = 0;

  // The document in force for a service, or null.
  virtual std::shared_ptr<const ServiceDocument> Find(std::string_view service) const = 0;
};

}  // namespace amaranthlatch::document
