// A small HTTP server for the stand-ins: requests with whole bodies, answers at any later time.

#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace amaranthlatch::standins {

struct Request {
  std::string method;
  // Path without query.
  std::string path;
  // Decoded query parameters.
  std::vector<std::pair<std::string, std::string>> query;
  // Names in lower case.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::uint64_t connection = 0;

  // Empty where the parameter or field is absent.
  std::string Query(const std::string& name) const;
  std::string Header(const std::string& name) const;
};

struct Response {
  int status = 200;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Sends only the first half of the body, then closes: an answer that breaks off.
  bool truncate = false;
};

// Answers one request, at once or later, on the io_context's thread.
using Respond = std::function<void(Response)>;
using Handler = std::function<void(const Request&, Respond)>;

class SimpleServer {
 public:
  // Listens at once; throws std::system_error if the address cannot be bound.
  SimpleServer(std::shared_ptr<asio::io_context> context, const std::string& ip, std::uint16_t port,
               Handler handler);
  ~SimpleServer();
  SimpleServer(const SimpleServer&) = delete;
  SimpleServer& operator=(const SimpleServer&) = delete;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace amaranthlatch::standins
