// HTTP requests of callers and the answers to them.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "amaranthlatch/utils/error_code.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls {

// Header fields in order of appearance; names are in lower case.
using Headers = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string method;
  // Path with query, as received.
  std::string target;
  std::string host;
  // Excludes hop-by-hop fields and the `amaranthlatch-` fields that this node consumes.
  Headers headers;
  std::string body;

  bool operator==(const HttpRequest&) const = default;
};

struct HttpResponse {
  int status = 0;
  Headers headers;
  std::string body;

  bool operator==(const HttpResponse&) const = default;
};

// Value of the Amaranthlatch-Result header.
enum class ResultKind : std::uint8_t {
  // The complete response of the backend server.
  kAnswered,
  // The request did not run and never will; it is safe to send again.
  kNotRun,
  // The request may have run; the mesh does not send it again.
  kUnknown,
};

// Header field in which a node passes on how long its backend server worked on the request, in
// microseconds.
inline constexpr const char* kBackendTimeField = "amaranthlatch-backend-us";

// Value of the field; empty without the field or with another value than a number.
std::optional<utils::Duration> BackendTimeOf(const HttpResponse& response);

struct Answer {
  ResultKind kind = ResultKind::kUnknown;
  utils::ErrorCode code = utils::ErrorCode::kOk;
  std::string message;
  // Only set for kAnswered.
  HttpResponse response;
  // Set on answers that were already retried further downstream; the entry node passes them on
  // without a retry.
  bool no_retry = false;
  // When a caller should send a refused request again; unset to derive it from the code. Not sent
  // between nodes.
  std::optional<utils::Duration> retry_after = std::nullopt;

  bool operator==(const Answer&) const = default;
};

}  // namespace amaranthlatch::calls
