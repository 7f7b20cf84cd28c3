// A server whose requests are answered at once by one function.

#pragma once

#include <functional>
#include <utility>

#include "amaranthlatch/runtime/http_server.h"

namespace amaranthlatch::runtime::details {

class ControlListener final : public HttpServerListener {
 public:
  using Handler = std::function<calls::HttpResponse(const calls::HttpRequest&)>;

  explicit ControlListener(Handler handler) : handler(std::move(handler)) {}

  // Must be called before the first request comes; the server must outlive the listener's use.
  void SetServer(HttpServer& own_server) { this->server = &own_server; }

  void OnRequest(std::uint64_t request, calls::HttpRequest content) override {
    ServerResponse answer;
    answer.response = this->handler(content);
    this->server->Respond(request, std::move(answer));
  }
  void OnCallerGone(std::uint64_t /*request*/) override {}

 private:
  const Handler handler;
  HttpServer* server = nullptr;
};

}  // namespace amaranthlatch::runtime::details
