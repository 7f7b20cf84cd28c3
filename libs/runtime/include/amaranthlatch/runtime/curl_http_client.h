// HTTP client on libcurl's multi interface.
//
// libcurl 7.88 sends a request again when a reused connection ends before the first byte of the
// answer. Here the callback that libcurl makes before it writes a request allows the first write
// only; a second one is allowed if the first has not put a byte on the wire. Connections can
// therefore be reused for every method.

#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <memory>

#include "amaranthlatch/runtime/http_client.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::runtime {

struct CurlHttpClientOptions {
  std::size_t max_connections = 256;
  std::size_t max_header_bytes = 65536;
  // Memory of the bodies of all answers that are being received.
  std::size_t max_buffered_bytes = std::size_t{48} * 1024 * 1024;
  utils::Duration connect_limit = utils::Milliseconds(1000);
  // A connection whose peer leaves sent bytes unacknowledged for this long is lost.
  utils::Duration acknowledge_limit = utils::Milliseconds(2000);
};

class CurlHttpClient final : public HttpClient {
 public:
  static utils::Result<std::unique_ptr<CurlHttpClient>> Create(asio::io_context& context,
                                                               CurlHttpClientOptions options);
  ~CurlHttpClient() override;

  void Start(std::uint64_t id, HttpExchange exchange, Done done) override;
  void LimitConnections(std::size_t max_connections) override;
  bool IsReceiving(std::uint64_t id) const override;
  void Cancel(std::uint64_t id) override;

  const HttpClientCounters& Counters() const;

 private:
  class Impl;
  explicit CurlHttpClient(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl;
};

}  // namespace amaranthlatch::runtime
