// Permit tokens: what a permit names, under a keyed MAC.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "amaranthlatch/calls/options.h"
#include "amaranthlatch/membership/member.h"

namespace amaranthlatch::calls::details {

// The right to run one request at most once at one process of one gate.
struct Permit {
  std::string service;
  // Qualified name of the route, see QualifiedRoute.
  std::string route;
  membership::NodeId gate;
  std::uint64_t incarnation = 0;
  std::uint64_t boot = 0;
  // Counted by the gate from 1.
  std::uint64_t sequence = 0;

  bool operator==(const Permit&) const = default;
};

// Names a route mesh-wide: the service of its document and its name in it.
std::string QualifiedRoute(std::string_view service, std::string_view route);

class PermitCodec {
 public:
  explicit PermitCodec(const PermitKey& key) : key(key) {}

  // A token of URL-safe characters.
  std::string Encode(const Permit& permit) const;
  // Empty for a token that no holder of the key has made.
  std::optional<Permit> Decode(std::string_view token) const;

 private:
  PermitKey key;
};

}  // namespace amaranthlatch::calls::details
