// Calls that a backend server makes to others.

#include "standins/backend_server/forwarder.h"

#include <asio/post.hpp>
#include <utility>

#include "tools/support/http.h"

namespace amaranthlatch::standins {

namespace {

constexpr int kOk = 200;

tools::HttpCall BuildCall(const Request& request) {
  const std::string chain = request.Header("x-chain");
  const std::size_t comma = chain.find(',');
  tools::HttpCall call;
  call.method = request.method;
  call.url = "http://" + chain.substr(0, comma) + request.path;
  call.headers = {"Host: " + request.Header("x-chain-host"),
                  "X-Chain-Host: " + request.Header("x-chain-host"),
                  "X-Request-Key: " + request.Header("x-request-key")};
  if (comma != std::string::npos) {
    call.headers.push_back("X-Chain: " + chain.substr(comma + 1));
  }
  const std::string deadline = request.Header("amaranthlatch-deadline-ms");
  if (!deadline.empty()) {
    call.headers.push_back("Amaranthlatch-Deadline-Ms: " + deadline);
  }
  call.body = request.body;
  return call;
}

}  // namespace

Forwarder::~Forwarder() { this->pool.join(); }

bool Forwarder::HasNext(const Request& request) { return !request.Header("x-chain").empty(); }

void Forwarder::Forward(const Request& request, std::function<void(bool)> done) {
  asio::post(this->pool, [call = BuildCall(request), done = std::move(done)] {
    thread_local tools::HttpClient client;
    done(client.Send(call).status == kOk);
  });
}

}  // namespace amaranthlatch::standins
