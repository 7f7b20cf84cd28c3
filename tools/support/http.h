// A blocking HTTP client for tools and tests, by libcurl.

#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace amaranthlatch::tools {

struct HttpReply {
  // 0 where no whole answer came.
  int status = 0;
  // No connection could be made: the request has not left the caller.
  bool refused = false;
  // Names in lower case.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::chrono::microseconds elapsed{0};

  std::string Header(const std::string& name) const;
};

struct HttpCall {
  std::string method = "GET";
  // "http://ip:port/path".
  std::string url = {};
  // "Name: value".
  std::vector<std::string> headers = {};
  std::string body = {};
  std::chrono::milliseconds timeout{5000};
};

// Keeps its connection between calls. For one thread.
class HttpClient {
 public:
  HttpClient();
  ~HttpClient();
  HttpClient(HttpClient&&) noexcept;
  HttpClient& operator=(HttpClient&&) noexcept;

  // Sends the request once; a POST goes out on the wire at most once.
  HttpReply Send(const HttpCall& call);

 private:
  struct Handle;
  std::unique_ptr<Handle> handle;
};

// One call on a connection of its own.
HttpReply Fetch(const HttpCall& call);

}  // namespace amaranthlatch::tools
