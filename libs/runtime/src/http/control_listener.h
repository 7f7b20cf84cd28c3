// A server whose requests are answered by one function.

#pragma once

#include <functional>
#include <utility>

#include "amaranthlatch/runtime/http_server.h"

namespace amaranthlatch::runtime::details {

class ControlListener final : public HttpServerListener {
 public:
  using Responder = std::function<void(calls::HttpResponse)>;
  // Answers a request by one call of the responder, now or later.
  using Handler = std::function<void(const calls::HttpRequest&, Responder)>;

  explicit ControlListener(Handler handler) : handler(std::move(handler)) {}

  // Must be called before the first request comes; the server must outlive the listener's use.
  void SetServer(HttpServer& own_server) { this->server = &own_server; }

  void OnRequest(std::uint64_t request, calls::HttpRequest content) override {
    this->handler(content, [this, request](calls::HttpResponse response) {
      ServerResponse answer;
      answer.response = std::move(response);
      this->server->Respond(request, std::move(answer));
    });
  }
  void OnCallerGone(std::uint64_t /*request*/) override {}

 private:
  const Handler handler;
  HttpServer* server = nullptr;
};

}  // namespace amaranthlatch::runtime::details
