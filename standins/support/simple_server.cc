// The HTTP server of the stand-ins, on RESTinio.

#include "standins/support/simple_server.h"

#include <algorithm>
#include <cctype>
#include <restinio/all.hpp>
#include <restinio/uri_helpers.hpp>

namespace amaranthlatch::standins {

namespace {

struct ServerTraits : restinio::default_single_thread_traits_t {
  using logger_t = restinio::null_logger_t;
  using request_handler_t = std::function<restinio::request_handling_status_t(
      const std::shared_ptr<restinio::request_t>&)>;
};

using Server = restinio::http_server_t<ServerTraits>;

constexpr auto kIdleTimeout = std::chrono::minutes(10);
constexpr std::size_t kMaxPipelinedRequests = 1;

std::string FindValue(const std::vector<std::pair<std::string, std::string>>& pairs,
                      const std::string& name) {
  const auto found = std::find_if(pairs.begin(), pairs.end(),
                                  [&name](const auto& pair) { return pair.first == name; });
  return found == pairs.end() ? std::string() : found->second;
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

Request Convert(const restinio::request_t& source) {
  Request request;
  request.method = source.header().method().c_str();
  request.path = std::string(source.header().path());
  request.body = source.body();
  request.connection = source.connection_id();
  const auto params = restinio::parse_query(source.header().query());
  for (const auto& [name, value] : params) {
    request.query.emplace_back(std::string(name), std::string(value));
  }
  source.header().for_each_field([&request](const auto& field) {
    request.headers.emplace_back(ToLower(std::string(field.name())), std::string(field.value()));
  });
  return request;
}

void SendTruncated(const restinio::request_handle_t& source, const Response& response) {
  auto out = source->create_response<restinio::user_controlled_output_t>(restinio::status_ok());
  out.set_content_length(response.body.size());
  out.connection_close();
  out.append_body(response.body.substr(0, response.body.size() / 2));
  out.done();
}

void Send(const restinio::request_handle_t& source, Response response) {
  if (response.truncate) {
    SendTruncated(source, response);
    return;
  }
  const auto status = restinio::http_status_code_t(static_cast<std::uint16_t>(response.status));
  auto out = source->create_response(restinio::http_status_line_t(status, "Status"));
  out.append_header(restinio::http_field::content_type, response.content_type);
  for (const auto& [name, value] : response.headers) {
    out.append_header(name, value);
  }
  out.set_body(std::move(response.body));
  out.done();
}

}  // namespace

std::string Request::Query(const std::string& name) const { return FindValue(this->query, name); }

std::string Request::Header(const std::string& name) const {
  return FindValue(this->headers, name);
}

class SimpleServer::Impl {
 public:
  Impl(std::shared_ptr<asio::io_context> context, const std::string& ip, std::uint16_t port,
       Handler handler)
      : context(std::move(context)),
        server(restinio::external_io_context(*this->context), [&](auto& settings) {
          settings.address(ip)
              .port(port)
              .read_next_http_message_timelimit(kIdleTimeout)
              .handle_request_timeout(kIdleTimeout)
              .max_pipelined_requests(kMaxPipelinedRequests)
              .request_handler(
                  [handler = std::move(handler)](const restinio::request_handle_t& source) {
                    handler(Convert(*source),
                            [source](Response response) { Send(source, std::move(response)); });
                    return restinio::request_accepted();
                  });
        }) {
    this->server.open_sync();
  }

  ~Impl() { this->server.close_sync(); }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

 private:
  // Outlives the server, which refers to it.
  std::shared_ptr<asio::io_context> context;
  Server server;
};

SimpleServer::SimpleServer(std::shared_ptr<asio::io_context> context, const std::string& ip,
                           std::uint16_t port, Handler handler)
    : impl(std::make_unique<Impl>(std::move(context), ip, port, std::move(handler))) {}

SimpleServer::~SimpleServer() = default;

}  // namespace amaranthlatch::standins
