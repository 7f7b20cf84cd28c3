// A blocking HTTP client for tools and tests.

#include "tools/support/http.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <cstddef>

namespace amaranthlatch::tools {

namespace {

// Position in a request body that libcurl reads.
struct BodyReader {
  const std::string* body = nullptr;
  std::size_t position = 0;
};

std::size_t ReadBody(char* buffer, std::size_t size, std::size_t count, void* user) {
  auto* reader = static_cast<BodyReader*>(user);
  const std::size_t length = std::min(size * count, reader->body->size() - reader->position);
  reader->body->copy(buffer, length, reader->position);
  reader->position += length;
  return length;
}

// libcurl re-sends a request on a reused connection only if it can read the body again.
int RefuseSeek(void*, curl_off_t, int) { return CURL_SEEKFUNC_FAIL; }

std::size_t AppendBody(char* data, std::size_t size, std::size_t count, void* user) {
  static_cast<std::string*>(user)->append(data, size * count);
  return size * count;
}

std::size_t AppendHeader(char* data, std::size_t size, std::size_t count, void* user) {
  const std::string line(data, size * count);
  const std::size_t colon = line.find(':');
  if (colon != std::string::npos) {
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    const std::size_t start = line.find_first_not_of(' ', colon + 1);
    const std::size_t end = line.find_last_not_of("\r\n ");
    static_cast<HttpReply*>(user)->headers.emplace_back(
        name, end < start ? std::string() : line.substr(start, end - start + 1));
  }
  return size * count;
}

}  // namespace

struct HttpClient::Handle {
  CURL* curl = curl_easy_init();
  Handle() = default;
  ~Handle() { curl_easy_cleanup(this->curl); }
  Handle(const Handle&) = delete;
  Handle& operator=(const Handle&) = delete;
};

std::string HttpReply::Header(const std::string& name) const {
  const auto found = std::find_if(this->headers.begin(), this->headers.end(),
                                  [&name](const auto& field) { return field.first == name; });
  return found == this->headers.end() ? std::string() : found->second;
}

HttpClient::HttpClient() : handle(std::make_unique<Handle>()) {}
HttpClient::~HttpClient() = default;
HttpClient::HttpClient(HttpClient&&) noexcept = default;
HttpClient& HttpClient::operator=(HttpClient&&) noexcept = default;

HttpReply HttpClient::Send(const HttpCall& call) {
  CURL* curl = this->handle->curl;
  curl_easy_reset(curl);
  HttpReply reply;
  BodyReader reader{&call.body, 0};
  curl_slist* fields = curl_slist_append(nullptr, "Expect:");
  for (const std::string& field : call.headers) {
    fields = curl_slist_append(fields, field.c_str());
  }
  curl_easy_setopt(curl, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(
      curl, CURLOPT_TIMEOUT_MS,
      static_cast<long>(call.timeout.count()));  // NOLINT(google-runtime-int): libcurl takes long.
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reply.body);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &AppendHeader);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &reply);
  if (call.method != "GET") {
    // A request without a body has no read callback that could refuse; a fresh connection is
    // never retried by libcurl.
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, call.body.empty() ? 1L : 0L);
    curl_easy_setopt(curl, CURLOPT_POST, 1L);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
    curl_easy_setopt(curl, CURLOPT_READFUNCTION, &ReadBody);
    curl_easy_setopt(curl, CURLOPT_READDATA, &reader);
    curl_easy_setopt(curl, CURLOPT_SEEKFUNCTION, &RefuseSeek);
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  }
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, fields);
  const auto start = std::chrono::steady_clock::now();
  const CURLcode code = curl_easy_perform(curl);
  reply.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - start);
  reply.refused = code == CURLE_COULDNT_CONNECT;
  if (code == CURLE_OK) {
    long status = 0;  // NOLINT(google-runtime-int): libcurl takes long.
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
  }
  curl_slist_free_all(fields);
  return reply;
}

HttpReply Fetch(const HttpCall& call) { return HttpClient().Send(call); }

}  // namespace amaranthlatch::tools
