// HTTP by libcurl.

#pragma once

#include <memory>

#include "http_client.h"

namespace amaranthlatch::cli {

class CurlClient final : public HttpClient {
 public:
  CurlClient();
  ~CurlClient() override;
  CurlClient(const CurlClient&) = delete;
  CurlClient& operator=(const CurlClient&) = delete;

  tl::expected<HttpResponse, HttpFailure> Send(const HttpRequest& request) override;

 private:
  struct Handle;
  std::unique_ptr<Handle> handle;
};

}  // namespace amaranthlatch::cli
