// Outgoing HTTP exchanges: to this node's backend server and to the platform's log.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "amaranthlatch/calls/event.h"
#include "amaranthlatch/calls/request.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime {

struct HttpExchange {
  // "ip:port" of the server.
  std::string address;
  calls::HttpRequest request;
  // The exchange ends with a failure after this time.
  utils::Duration time_limit{};
  std::uint64_t max_response_bytes = 0;
  // Time without a first byte after which a new connection is tried; zero for never.
  utils::Duration silent_after{};
  // A repeatable exchange ends as soon as its connection is found silent. Any other one is waited
  // for until the time limit, because its answer may still come and nobody may run it again.
  bool repeatable = false;
  // Whether to open a connection for this exchange: a kept one may have gone silent since its use.
  bool needs_new_connection = false;
  // What silences a connection of this address silences others: if the exchange ends without a byte
  // of its answer, the next ones do not use connections that were open at that time.
  bool silence_is_shared = false;
  // Field of the answer that must repeat a value of the request; empty name for none. An answer
  // with another value belongs to another request: the exchange fails and its connection is closed.
  // A value that was sent before gets a new connection, where no earlier answer can come.
  std::string echo_name;
  std::string echo_value;
  // An answer without length or chunks is complete when its connection ends in order.
  bool ends_with_connection = false;
  // Longest idle time of a connection that is used again.
  utils::Duration max_idle = utils::Seconds(4);
};

// How the end of an answer's body shows.
enum class Framing : std::uint8_t { kNone, kLength, kChunked, kConnectionEnd };
std::string_view ToString(Framing framing);

struct HttpFailure {
  calls::BackendFailure failure = calls::BackendFailure::kConnectionLost;
  // The server refuses new connections.
  bool process_dead = false;
  std::string detail;
  // What had come of the answer. Without the end of a header its framing is kNone.
  Framing framing = Framing::kNone;
  std::uint64_t body_bytes = 0;
};

struct HttpClientCounters {
  // Whole answers by framing.
  std::uint64_t answers_with_length = 0;
  std::uint64_t answers_chunked = 0;
  std::uint64_t answers_until_connection_end = 0;
  // Answers that broke off, and that belonged to another request.
  std::uint64_t answers_incomplete = 0;
  std::uint64_t answers_foreign = 0;
  bool operator==(const HttpClientCounters&) const = default;
};

using HttpOutcome = tl::expected<calls::HttpResponse, HttpFailure>;

class HttpClient {
 public:
  using Done = std::function<void(HttpOutcome)>;

  virtual ~HttpClient() = default;

  // Writes the request at most once on the wire. `done` is called later, exactly once, also after
  // Cancel. The id must not be in use.
  virtual void Start(std::uint64_t id, HttpExchange exchange, Done done) = 0;

  // Connections open at once; further exchanges wait for one.
  virtual void LimitConnections(std::size_t max_connections) = 0;

  // Whether the answer of the exchange has begun to arrive; false for an unknown id.
  virtual bool IsReceiving(std::uint64_t id) const = 0;

  // Ends the exchange with kCancelled and closes its connection; no effect on an unknown id.
  virtual void Cancel(std::uint64_t id) = 0;
};

}  // namespace amaranthlatch::runtime
