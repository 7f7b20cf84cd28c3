// Interface through which calls are judged by the workspaces of the configuration in force.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "amaranthlatch/calls/request.h"
#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/utils/error_code.h"

namespace amaranthlatch::calls {

enum class AuthorizationResult : std::uint8_t {
  // No judgement: there are no workspaces, or no route whose rules could apply.
  kUnchecked,
  // A public route, without the key of a workspace.
  kPublic,
  // The key belongs to a workspace.
  kKnown,
  // The route needs a key, and the request has none that belongs to a workspace.
  kUnknown,
};

struct Authorization {
  AuthorizationResult result = AuthorizationResult::kUnchecked;
  // Only set for kKnown.
  std::string workspace;
  // Used in place of the priority of the route if set.
  std::optional<document::Priority> priority;
  // Whether the credentials of the caller are forwarded to the backend server.
  bool forward_credentials = true;

  // kOk, or the code with which the call is refused.
  utils::ErrorCode Code() const {
    return this->result == AuthorizationResult::kUnknown ? utils::ErrorCode::kKeyUnknown
                                                         : utils::ErrorCode::kOk;
  }
  bool operator==(const Authorization&) const = default;
};

class Authorizer {
 public:
  virtual ~Authorizer() = default;

  // Judges a request by the configuration in force. `known_route` is the route by which an earlier
  // attempt of the call was sent; it applies if the configuration has no route for the request.
  // Null for the first attempt.
  virtual Authorization Authorize(const HttpRequest& request, std::string_view key,
                                  const document::Route* known_route) const = 0;

  // Share of a workspace in a queue, relative to an average workspace; above 0.
  virtual double WeightOf(std::string_view workspace) const = 0;
};

// Appends the credentials to the fields of the request, or removes them again, if `forwarded`
// differs from `forward`.
void ForwardCredentials(bool forward, HttpRequest& request, const Headers& credentials,
                        bool& forwarded);

}  // namespace amaranthlatch::calls
