// Connection probes on Asio.

#include "amaranthlatch/runtime/connection_probe.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <utility>

#include "amaranthlatch/runtime/endpoint.h"

namespace amaranthlatch::runtime {

namespace {

struct Probe {
  explicit Probe(asio::io_context& context) : socket(context), timer(context) {}

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
};

ProbeResult Classify(const asio::error_code& error) {
  if (!error) {
    return ProbeResult::kAccepted;
  }
  return error == asio::error::connection_refused ? ProbeResult::kRefused : ProbeResult::kNoAnswer;
}

}  // namespace

void ProbeConnection(asio::io_context& context, std::string_view address, utils::Duration limit,
                     std::string_view greeting, std::function<void(ProbeResult)> done) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    asio::post(context, [done = std::move(done)] { done(ProbeResult::kNoAnswer); });
    return;
  }
  auto probe = std::make_shared<Probe>(context);
  probe->timer.expires_after(limit);
  probe->timer.async_wait([probe](const asio::error_code& error) {
    if (!error) {
      probe->socket.close();
    }
  });
  probe->socket.async_connect(*endpoint, [probe, greeting = std::string(greeting),
                                          done = std::move(done)](const asio::error_code& error) {
    probe->timer.cancel();
    if (!error && !greeting.empty()) {
      // A fresh connection takes a few bytes at once.
      asio::error_code ignored;
      probe->socket.non_blocking(true, ignored);
      probe->socket.write_some(asio::buffer(greeting), ignored);
    }
    done(Classify(error));
  });
}

}  // namespace amaranthlatch::runtime
