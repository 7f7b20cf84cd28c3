// HTTP as the command line needs it: one exchange at a time.

#pragma once

#include <string>
#include <tl/expected.hpp>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::cli {

struct HttpRequest {
  std::string method;
  std::string url;
  // JSON; empty for none.
  std::string body;
  utils::Duration timeout{};
};

struct HttpResponse {
  int status = 0;
  std::string body;
};

struct HttpFailure {
  // False only where no connection was made, so that the server cannot have seen the request.
  bool may_have_arrived = true;
  std::string message;
};

class HttpClient {
 public:
  virtual ~HttpClient() = default;
  virtual tl::expected<HttpResponse, HttpFailure> Send(const HttpRequest& request) = 0;
};

}  // namespace amaranthlatch::cli
