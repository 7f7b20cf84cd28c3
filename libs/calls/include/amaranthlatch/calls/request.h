// Requests of callers and the answers to them.

#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "amaranthlatch/utils/error_code.h"

namespace amaranthlatch::calls {

// Header fields in their order; names are lower case.
using Headers = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string method;
  // Path with query, as received.
  std::string target;
  std::string host;
  // Without hop-by-hop fields and without `amaranthlatch-` fields that this node consumes.
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

// Value of the header Amaranthlatch-Result.
enum class ResultKind : std::uint8_t {
  // The backend server's own answer, complete.
  kAnswered,
  // Did not run and will not run; safe to send again.
  kNotRun,
  // May have run; the system does not send it again.
  kUnknown,
};

struct Answer {
  ResultKind kind = ResultKind::kUnknown;
  utils::ErrorCode code = utils::ErrorCode::kOk;
  std::string message;
  // Only for kAnswered.
  HttpResponse response;
  // Set on answers of a deeper level: the entry node passes them on without a retry.
  bool no_retry = false;

  bool operator==(const Answer&) const = default;
};

}  // namespace amaranthlatch::calls
