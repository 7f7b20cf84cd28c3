// Calls that a backend server makes to others while it runs a request.

#pragma once

#include <asio/thread_pool.hpp>
#include <functional>
#include <string>

#include "standins/support/simple_server.h"

namespace amaranthlatch::standins {

class Forwarder {
 public:
  explicit Forwarder(std::size_t threads) : pool(threads) {}
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  // True where the request names further hops in X-Chain.
  static bool HasNext(const Request& request);

  // Sends the request to the first hop of X-Chain with the rest of the chain; calls `done` on a
  // thread of the pool with true if it was answered with 200.
  void Forward(const Request& request, std::function<void(bool)> done);

 private:
  asio::thread_pool pool;
};

}  // namespace amaranthlatch::standins
