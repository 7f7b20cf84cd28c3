// HTTP by libcurl.

#include "curl_client.h"

#include <curl/curl.h>

#include <cstddef>

namespace amaranthlatch::cli {

namespace {

// A page of the log holds up to 256 records of up to 256 KiB.
constexpr std::size_t kMaxBodyBytes = 80ULL * 1024 * 1024;

std::size_t AppendBody(const char* bytes, std::size_t size, std::size_t count, void* body) {
  auto& text = *static_cast<std::string*>(body);
  if (text.size() + size * count > kMaxBodyBytes) {
    return 0;
  }
  text.append(bytes, size * count);
  return size * count;
}

bool MayHaveArrived(CURLcode code) {
  switch (code) {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
      return false;
    default:
      return true;
  }
}

}  // namespace

struct CurlClient::Handle {
  CURL* curl = nullptr;
  curl_slist* headers = nullptr;
};

CurlClient::CurlClient() : handle(std::make_unique<Handle>()) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  this->handle->curl = curl_easy_init();
  this->handle->headers = curl_slist_append(nullptr, "Content-Type: application/json");
}

CurlClient::~CurlClient() {
  curl_slist_free_all(this->handle->headers);
  curl_easy_cleanup(this->handle->curl);
  curl_global_cleanup();
}

tl::expected<HttpResponse, HttpFailure> CurlClient::Send(const HttpRequest& request) {
  CURL* curl = this->handle->curl;
  if (curl == nullptr) {
    return tl::unexpected(HttpFailure{false, "libcurl gave no handle"});
  }
  HttpResponse response;
  // NOLINTNEXTLINE(google-runtime-int): type of libcurl.
  const auto timeout = static_cast<long>(utils::ToMilliseconds(request.timeout));
  curl_easy_reset(curl);
  curl_easy_setopt(curl, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, this->handle->headers);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout);
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &response.body);
  if (request.method == "POST") {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.c_str());
  }
  const CURLcode code = curl_easy_perform(curl);
  if (code != CURLE_OK) {
    return tl::unexpected(HttpFailure{MayHaveArrived(code), curl_easy_strerror(code)});
  }
  long status = 0;  // NOLINT(google-runtime-int): type of libcurl.
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
  response.status = static_cast<int>(status);
  return response;
}

}  // namespace amaranthlatch::cli
