// The only file that includes RESTinio.

#include "amaranthlatch/runtime/restinio_server.h"

#include <http_parser.h>

#include <algorithm>
#include <charconv>
#include <restinio/all.hpp>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "amaranthlatch/runtime/endpoint.h"
#include "amaranthlatch/runtime/http_headers.h"
#include "http/caller_socket.h"
#include "http/raw_answer.h"
#include "settings/memory_plan.h"

namespace amaranthlatch::runtime {

namespace details {

// The connection that RESTinio is just setting up: its socket is not passed to the listener.
thread_local std::shared_ptr<CallerConnection> connection_in_setup;

// Found by RESTinio through argument dependent lookup.
// NOLINTBEGIN(readability-identifier-naming)
template <typename Connection, typename Start, typename Failed>
void prepare_connection_and_start_read(CallerSocket& socket, Connection& /*connection*/,
                                       Start start, Failed /*failed*/) {
  connection_in_setup = socket.Begin();
  start();
  connection_in_setup.reset();
}

inline restinio::tls_socket_t* make_tls_socket_pointer_for_state_listener(
    CallerSocket& /*socket*/) noexcept {
  return nullptr;
}
// NOLINTEND(readability-identifier-naming)

// What the server wants to hear from RESTinio.
class ConnectionObserver {
 public:
  virtual ~ConnectionObserver() = default;
  virtual void OnAccepted(std::uint64_t connection) = 0;
  virtual void OnClosed(std::uint64_t connection) = 0;
  virtual void OnError(std::string_view message) = 0;
};

// RESTinio reports why it closes a connection to its logger only.
class ServerLogger {
 public:
  explicit ServerLogger(ConnectionObserver* observer) : observer(observer) {}

  // NOLINTBEGIN(readability-identifier-naming)
  template <typename Builder>
  void trace(Builder&& /*build*/) noexcept {}
  template <typename Builder>
  void info(Builder&& /*build*/) noexcept {}
  template <typename Builder>
  void warn(Builder&& /*build*/) noexcept {}
  template <typename Builder>
  void error(Builder&& build) {
    this->observer->OnError(build());
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  ConnectionObserver* observer;
};

class StateListener {
 public:
  explicit StateListener(std::shared_ptr<ConnectionObserver> observer)
      : observer(std::move(observer)) {}

  // NOLINTNEXTLINE(readability-identifier-naming): RESTinio's name.
  void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
    if (std::holds_alternative<restinio::connection_state::accepted_t>(notice.cause())) {
      this->observer->OnAccepted(notice.connection_id());
    } else {
      this->observer->OnClosed(notice.connection_id());
    }
  }

 private:
  // RESTinio's connections keep this listener, and with it the observer, until the last one ends.
  std::shared_ptr<ConnectionObserver> observer;
};

// NOLINTBEGIN(readability-identifier-naming): names that RESTinio looks for.
struct ServerTraits : restinio::default_traits_t {
  using logger_t = ServerLogger;
  using strand_t = restinio::noop_strand_t;
  using stream_socket_t = CallerSocket;
  using connection_state_listener_t = StateListener;
  static constexpr bool use_connection_count_limiter = true;
};
// NOLINTEND(readability-identifier-naming)

}  // namespace details

namespace {

using details::NotRun;
using details::RawAnswer;
using utils::ErrorCode;

// Two let the server notice that a caller closes while its request runs: RESTinio reads on.
constexpr std::size_t kPipelinedRequests = 2;
constexpr std::size_t kReadBufferBytes = 4096;
constexpr std::size_t kMaxFields = 256;
// Every request is answered by the reducer before its deadline; this is above all deadlines.
constexpr auto kHandleLimit = std::chrono::hours(1);
// Connections above the limit that get a clear refusal; further ones wait in the backlog.
constexpr std::size_t kRefusalReserve = 64;

// Memory is free again once some answers are written.
constexpr std::string_view kRetryAfter = "Retry-After: 1\r\n";

constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;

// The number in "[connection:7] ...".
std::uint64_t ConnectionIn(std::string_view message) {
  constexpr std::string_view kPrefix = "[connection:";
  std::uint64_t connection = 0;
  if (message.starts_with(kPrefix)) {
    std::from_chars(message.data() + kPrefix.size(), message.data() + message.size(), connection);
  }
  return connection;
}

// Moves an absolute request target ("http://host/path") into host and path.
void SplitAbsoluteTarget(calls::HttpRequest& request) {
  constexpr std::string_view kScheme = "http://";
  if (!request.target.starts_with(kScheme)) {
    return;
  }
  const std::size_t slash = request.target.find('/', kScheme.size());
  request.host = request.target.substr(kScheme.size(), slash - kScheme.size());
  request.target = slash == std::string::npos ? "/" : request.target.substr(slash);
}

bool HasNoBody(const std::string& method, int status) {
  return method == "HEAD" || status == kStatusNoContent || status == kStatusNotModified;
}

}  // namespace

class RestinioServer::Impl final : public details::ConnectionObserver,
                                   public std::enable_shared_from_this<RestinioServer::Impl> {
 public:
  using Server = restinio::http_server_t<details::ServerTraits>;

  Impl(asio::io_context& context, RestinioServerOptions options, HttpServerListener& listener)
      : context(context),
        options(std::move(options)),
        listener(listener),
        buffered(std::make_shared<details::BufferedBytes>(this->options.max_buffered_bytes)) {}

  utils::Result<void> Open() {
    const auto endpoint = ParseEndpoint(this->options.address);
    if (!endpoint) {
      return tl::unexpected(endpoint.error());
    }
    http_parser_set_max_header_size(static_cast<std::uint32_t>(this->options.max_header_bytes));
    try {
      this->server = std::make_unique<Server>(restinio::external_io_context(this->context),
                                              this->ServerSettings(*endpoint));
      this->server->open_sync();
    } catch (const std::exception& error) {
      return utils::Fail(ErrorCode::kHttpFailed,
                         "listening on " + this->options.address + ": " + error.what());
    }
    return {};
  }

  // RESTinio's connections live on with the io_context; they find no server any more.
  void Close() {
    this->closed = true;
    // An open request keeps its connection, which keeps this object as its listener.
    this->requests.clear();
    this->connections.clear();
    this->server.reset();
  }

  void Respond(std::uint64_t id, ServerResponse answer) {
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) {
      return;
    }
    PendingRequest request = std::move(found->second);
    this->requests.erase(found);
    const auto state = this->connections.find(request.connection);
    if (state == this->connections.end()) {
      return;
    }
    state->second.requests.erase(id);
    this->Write(std::move(request), std::move(answer), state->second.state);
  }

  void AskToClose() { this->shutting_down = true; }

  void BeginShutdown() {
    this->shutting_down = true;
    this->server->close_sync();
  }

  std::uint16_t Port() const { return this->port; }

  const HttpServerCounters& Counters() {
    this->counters.connections = this->connections.size();
    return this->counters;
  }

  void OnAccepted(std::uint64_t id) override {
    const auto state = details::connection_in_setup;
    state->timeout_answer = this->timeout_answer;
    if (this->closed || this->connections.size() >= this->options.max_connections) {
      ++this->counters.connections_refused;
      state->refused = true;
      state->last_words = RawAnswer(
          NotRun(ErrorCode::kTooManyConnections, "the node has all the connections it takes"));
      return;
    }
    ++this->counters.connections_accepted;
    state->charge = details::Charge(this->buffered);
    // The connection owns the function, and RESTinio's connections may outlive the server.
    state->admit = [weak = this->weak_from_this(),
                    connection = state.get()](std::string_view bytes) {
      const auto self = weak.lock();
      return self == nullptr || self->Admit(*connection, bytes);
    };
    this->connections[id].state = state;
  }

  void OnClosed(std::uint64_t id) override {
    const auto found = this->connections.find(id);
    if (found == this->connections.end() || this->closed) {
      return;
    }
    const Connection connection = std::move(found->second);
    this->connections.erase(found);
    if (connection.state->request_begun && connection.state->last_words.empty() &&
        !connection.state->closed_by_caller) {
      ++this->counters.timeouts;
    }
    for (const std::uint64_t request : connection.requests) {
      this->requests.erase(request);
      ++this->counters.callers_gone;
      this->listener.OnCallerGone(request);
    }
  }

  void OnError(std::string_view message) override {
    const auto found = this->connections.find(ConnectionIn(message));
    if (found == this->connections.end() ||
        message.find("parser error") == std::string_view::npos) {
      return;
    }
    ++this->counters.bad_requests;
    found->second.state->last_words = RawAnswer(details::AnswerToParserError(message));
  }

 private:
  struct Connection {
    std::shared_ptr<details::CallerConnection> state;
    std::set<std::uint64_t> requests;
  };

  struct PendingRequest {
    restinio::request_handle_t handle;
    std::uint64_t connection = 0;
    std::string method;
    details::Charge charge;
  };

  // Counts the bytes, with all that the header announces. Returns false if they do not fit.
  bool Admit(details::CallerConnection& connection, std::string_view bytes) {
    connection.size.Add(bytes);
    const std::uint64_t size = connection.size.Bytes();
    const std::uint64_t counted = connection.charge.Bytes();
    if (size <= counted || size > this->options.max_body_bytes + this->options.max_header_bytes) {
      // The parser refuses what is above the limit of one request.
      return true;
    }
    if (this->buffered->Fits(size, size - counted)) {
      connection.charge.Set(size);
      return true;
    }
    ++this->counters.requests_without_memory;
    connection.last_words =
        size > this->buffered->LargeLimit()
            ? RawAnswer(NotRun(ErrorCode::kRequestTooLarge, "the body is above the node's memory"))
            : RawAnswer(NotRun(ErrorCode::kTooManyConnections, "the node's memory is in use"),
                        kRetryAfter);
    connection.charge.Set(0);
    return false;
  }

  restinio::server_settings_t<details::ServerTraits> ServerSettings(
      const asio::ip::tcp::endpoint& endpoint) {
    restinio::server_settings_t<details::ServerTraits> settings;
    restinio::incoming_http_msg_limits_t limits;
    limits.max_url_size(this->options.max_header_bytes)
        .max_field_name_size(this->options.max_header_bytes)
        .max_field_value_size(this->options.max_header_bytes)
        .max_field_count(kMaxFields)
        .max_body_size(this->options.max_body_bytes);
    settings.address(endpoint.address())
        .port(endpoint.port())
        .protocol(endpoint.protocol())
        .buffer_size(kReadBufferBytes)
        .max_pipelined_requests(kPipelinedRequests)
        .read_next_http_message_timelimit(this->options.read_limit)
        .write_http_response_timelimit(this->options.write_limit)
        .handle_request_timeout(kHandleLimit)
        .incoming_http_msg_limits(limits)
        .max_parallel_connections(this->options.max_connections + kRefusalReserve)
        .logger(this)
        .connection_state_listener(
            std::make_shared<details::StateListener>(this->shared_from_this()))
        .socket_options_setter(
            [](auto& socket_options) { socket_options.set_option(asio::ip::tcp::no_delay(true)); })
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
          this->port = acceptor.local_endpoint().port();
        })
        .request_handler(
            [this](const restinio::request_handle_t& handle) { return this->OnRequest(handle); });
    return settings;
  }

  restinio::request_handling_status_t OnRequest(const restinio::request_handle_t& handle) {
    const auto found = this->connections.find(handle->connection_id());
    if (this->closed || found == this->connections.end()) {
      return restinio::request_rejected();
    }
    Connection& connection = found->second;
    connection.state->request_begun = false;
    connection.state->size.Reset();
    details::Charge charge =
        std::exchange(connection.state->charge, details::Charge(this->buffered));
    ++connection.state->unanswered;
    ++this->counters.requests;
    if (connection.state->closed_by_caller) {
      // Nobody waits for the answer; the next read ends the connection.
      ++this->counters.callers_gone;
      return restinio::request_accepted();
    }
    const std::uint64_t id = ++this->last_request;
    connection.requests.insert(id);
    calls::HttpRequest request = ReadRequest(*handle);
    this->requests[id] = {handle, handle->connection_id(), request.method, std::move(charge)};
    if (const std::string fault = FaultOf(*handle, request); !fault.empty()) {
      ++this->counters.bad_requests;
      this->Respond(id, NotRun(ErrorCode::kBadRequest, fault));
    } else {
      this->listener.OnRequest(id, std::move(request));
    }
    return restinio::request_accepted();
  }

  static calls::HttpRequest ReadRequest(const restinio::request_t& handle) {
    calls::HttpRequest request;
    request.method = handle.header().method().c_str();
    request.target = handle.header().request_target();
    request.body = handle.body();
    handle.header().for_each_field([&request](const restinio::http_header_field_t& field) {
      request.headers.emplace_back(ToLowerCase(field.name()), field.value());
    });
    request.host = FindField(request.headers, "host");
    RemoveHopByHopFields(request.headers);
    std::erase_if(request.headers, [](const auto& field) {
      return field.first == "host" || field.first == "content-length" || field.first == "expect";
    });
    SplitAbsoluteTarget(request);
    return request;
  }

  static std::string FaultOf(const restinio::request_t& handle, const calls::HttpRequest& request) {
    int hosts = 0;
    handle.header().for_each_field([&hosts](const restinio::http_header_field_t& field) {
      hosts += ToLowerCase(field.name()) == "host" ? 1 : 0;
    });
    if (hosts > 1 || request.host.empty()) {
      return "exactly one Host field is required";
    }
    if (request.method == "CONNECT" || !request.target.starts_with('/')) {
      return "the request target must be a path";
    }
    return {};
  }

  void Write(PendingRequest request, ServerResponse answer,
             const std::shared_ptr<details::CallerConnection>& state) {
    calls::HttpResponse& response = answer.response;
    RemoveHopByHopFields(response.headers);
    const auto status = static_cast<std::uint16_t>(response.status);
    auto builder = request.handle->create_response<restinio::user_controlled_output_t>(
        restinio::http_status_line_t{restinio::http_status_code_t{status},
                                     std::string(details::ReasonOf(response.status))});
    std::size_t length = response.body.size();
    if (HasNoBody(request.method, response.status)) {
      // The field states the length that the answer to a GET would have.
      const std::string_view stated = FindField(response.headers, "content-length");
      std::from_chars(stated.data(), stated.data() + stated.size(), length);
      response.body.clear();
    }
    builder.set_content_length(length);
    for (const auto& [name, value] : response.headers) {
      if (name != "content-length" && IsValidField(name, value)) {
        builder.append_header(name, value);
      }
    }
    builder.append_header("Amaranthlatch-Result", ToString(answer.kind));
    builder.append_header("Amaranthlatch-Code", std::to_string(utils::ToNumber(answer.code)));
    if (answer.no_retry) {
      builder.append_header("Amaranthlatch-No-Retry", "1");
    }
    if (this->shutting_down) {
      builder.connection_close();
    }
    if (!state->on_same_instance && this->options.sent_to_others) {
      this->options.sent_to_others(response.body.size());
    }
    // RESTinio keeps the request until the answer is written.
    const auto held = std::make_shared<details::Charge>(std::move(request.charge));
    held->Set(held->Bytes() +
              response.body.size() * details::kHeldAnswerCopies / details::kRequestCopies);
    builder.append_body(std::move(response.body));
    builder.done([state, held](const asio::error_code& /*error*/) { --state->unanswered; });
  }

  asio::io_context& context;
  const RestinioServerOptions options;
  HttpServerListener& listener;
  const std::shared_ptr<details::BufferedBytes> buffered;
  const std::string timeout_answer = details::TimeoutAnswer();
  std::unique_ptr<Server> server;
  std::uint16_t port = 0;
  bool closed = false;
  bool shutting_down = false;
  std::uint64_t last_request = 0;
  std::unordered_map<std::uint64_t, PendingRequest> requests;
  std::unordered_map<std::uint64_t, Connection> connections;
  HttpServerCounters counters;
};

utils::Result<std::unique_ptr<RestinioServer>> RestinioServer::Create(
    asio::io_context& context, RestinioServerOptions options, HttpServerListener& listener) {
  auto impl = std::make_shared<Impl>(context, std::move(options), listener);
  if (auto opened = impl->Open(); !opened) {
    impl->Close();
    return tl::unexpected(opened.error());
  }
  return std::unique_ptr<RestinioServer>(new RestinioServer(std::move(impl)));
}

RestinioServer::RestinioServer(std::shared_ptr<Impl> impl) : impl(std::move(impl)) {}

RestinioServer::~RestinioServer() { this->impl->Close(); }

void RestinioServer::Respond(std::uint64_t request, ServerResponse response) {
  this->impl->Respond(request, std::move(response));
}

void RestinioServer::AskToClose() { this->impl->AskToClose(); }

void RestinioServer::BeginShutdown() { this->impl->BeginShutdown(); }

std::uint16_t RestinioServer::Port() const { return this->impl->Port(); }

const HttpServerCounters& RestinioServer::Counters() const { return this->impl->Counters(); }

}  // namespace amaranthlatch::runtime
