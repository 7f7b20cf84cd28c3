// HTTP server on RESTinio.

#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>

#include "amaranthlatch/runtime/http_server.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::runtime {

struct RestinioServerOptions {
  // "ip:port"; port 0 takes a free one.
  std::string address;
  std::size_t max_connections = 1024;
  // Of one request's line and fields together; the parser's limit is one for the whole process.
  std::size_t max_header_bytes = 65536;
  std::size_t max_body_bytes = 1048576;
  // Of all requests from their arrival to their answer, and of answers until they are written. A
  // request that would exceed it is refused before its body is read.
  std::uint64_t max_buffered_bytes = std::numeric_limits<std::uint64_t>::max();
  // Told the bytes of each answer to a caller on another instance; may be empty.
  std::function<void(std::size_t)> sent_to_others;
  // For a whole request to arrive, including the idle time before it.
  utils::Duration read_limit = utils::Seconds(30);
  // For a whole answer to be taken by the caller.
  utils::Duration write_limit = utils::Seconds(30);
};

class RestinioServer final : public HttpServer {
 public:
  // Listens at once. The listener must outlive the server.
  static utils::Result<std::unique_ptr<RestinioServer>> Create(asio::io_context& context,
                                                               RestinioServerOptions options,
                                                               HttpServerListener& listener);
  ~RestinioServer() override;

  void Respond(std::uint64_t request, ServerResponse response) override;
  void AskToClose() override;
  void BeginShutdown() override;
  std::uint16_t Port() const override;
  const HttpServerCounters& Counters() const override;

 private:
  class Impl;
  explicit RestinioServer(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> impl;
};

}  // namespace amaranthlatch::runtime
