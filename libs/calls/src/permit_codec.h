// Permit tokens, authenticated with a keyed MAC.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "amaranthlatch/calls/options.h"
#include "amaranthlatch/membership/member.h"

namespace amaranthlatch::calls::details {

// Allows one request to run at most once in one process of one gate.
struct Permit {
  std::string service;
  // Qualified name of the route, see QualifiedRoute.
  std::string route;
  membership::NodeId gate;
  std::uint64_t incarnation = 0;
  std::uint64_t boot = 0;
  // Assigned by the gate, starting at 1.
  std::uint64_t sequence = 0;

  bool operator==(const Permit&) const = default;
};

// Returns the mesh-wide unique name of a route: the service of its document and the route name.
std::string QualifiedRoute(std::string_view service, std::string_view route);

class PermitCodec {
 public:
  explicit PermitCodec(const PermitKey& key) : key(key) {}

  // Returns a token of URL-safe characters.
  std::string Encode(const Permit& permit) const;
  // Returns nullopt for a malformed token or one that was not made with this key.
  std::optional<Permit> Decode(std::string_view token) const;

 private:
  PermitKey key;
};

}  // namespace amaranthlatch::calls::details
