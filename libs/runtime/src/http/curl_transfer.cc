// Options, callbacks and outcome of one exchange.

#include "http/curl_transfer.h"

#include <algorithm>
#include <utility>

#include "amaranthlatch/runtime/http_headers.h"

namespace amaranthlatch::runtime::details {

namespace {

constexpr long kMillisecondsPerSecond = 1000;  // NOLINT(google-runtime-int)
constexpr int kStatusOk = 200;
constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;

long ToCurlMilliseconds(utils::Duration duration) {  // NOLINT(google-runtime-int)
  // libcurl reads 0 as "no limit".
  return static_cast<long>(  // NOLINT(google-runtime-int)
      std::max<std::int64_t>(utils::ToMilliseconds(duration), 1));
}

std::string_view TrimLine(std::string_view line) {
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
    line.remove_suffix(1);
  }
  return line;
}

}  // namespace

CurlTransfer::CurlTransfer(CURL* easy, HttpExchange exchange, ResponseBuffers& buffers,
                           std::size_t max_header_bytes, utils::Duration connect_limit)
    : easy(easy),
      exchange(std::move(exchange)),
      buffers(buffers),
      max_header_bytes(max_header_bytes) {
  this->buffers.Open();
  curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, ToCurlMilliseconds(connect_limit));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ToCurlMilliseconds(this->exchange.time_limit));
  // A request that reaches a server in a race with the end of an idle connection may be lost.
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                   ToCurlMilliseconds(this->exchange.max_idle) / kMillisecondsPerSecond);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &CurlTransfer::BeforeRequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &CurlTransfer::OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &CurlTransfer::OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
  this->SetRequest();
}

CurlTransfer::~CurlTransfer() { this->buffers.Close(this->body_bytes); }

void CurlTransfer::SetRequest() {
  const std::string url = "http://" + this->exchange.address + "/";
  curl_easy_setopt(this->easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(this->easy, CURLOPT_REQUEST_TARGET, this->exchange.request.target.c_str());
  this->SetMethod();
  this->AddHeaders();
  curl_easy_setopt(this->easy, CURLOPT_HTTPHEADER, this->headers.get());
}

void CurlTransfer::SetMethod() {
  const calls::HttpRequest& request = this->exchange.request;
  const bool body_expected =
      request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
  if (request.method == "HEAD") {
    curl_easy_setopt(this->easy, CURLOPT_NOBODY, 1L);
    return;
  }
  if (body_expected || !request.body.empty()) {
    curl_easy_setopt(this->easy, CURLOPT_POST, 1L);
    curl_easy_setopt(this->easy, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(this->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
  } else {
    curl_easy_setopt(this->easy, CURLOPT_HTTPGET, 1L);
  }
  curl_easy_setopt(this->easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void CurlTransfer::AddHeaders() {
  const calls::HttpRequest& request = this->exchange.request;
  const std::string host = request.host.empty() ? this->exchange.address : request.host;
  this->AddHeader("Host: " + host);
  // A line without a value removes what libcurl would add on its own.
  this->AddHeader("Expect:");
  if (FindField(request.headers, "accept").empty()) {
    this->AddHeader("Accept:");
  }
  if (FindField(request.headers, "content-type").empty()) {
    this->AddHeader("Content-Type:");
  }
  for (const auto& [name, value] : request.headers) {
    const bool computed = name == "host" || name == "content-length" || name == "expect";
    if (!computed && IsValidField(name, value)) {
      std::string line = name;
      this->AddHeader(value.empty() ? line.append(";") : line.append(": ").append(value));
    }
  }
}

void CurlTransfer::AddHeader(const std::string& line) {
  curl_slist* const longer = curl_slist_append(this->headers.get(), line.c_str());
  if (longer != nullptr) {
    // The first append makes the list; later ones return the same head.
    static_cast<void>(this->headers.release());
    this->headers.reset(longer);
  }
}

int CurlTransfer::BeforeRequest(void* self, char* /*remote_ip*/, char* /*local_ip*/,
                                int /*remote_port*/, int /*local_port*/) {
  auto* const transfer = static_cast<CurlTransfer*>(self);
  const bool written_before = transfer->MayBeSent();
  ++transfer->writes;
  return written_before ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

bool CurlTransfer::MayBeSent() const {
  if (this->writes == 0) {
    return false;
  }
  // Counts the bytes that the socket took, over all connections of this transfer.
  long request_bytes = 0;  // NOLINT(google-runtime-int): libcurl's type.
  curl_easy_getinfo(this->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  return request_bytes > 0;
}

std::size_t CurlTransfer::OnHeader(char* data, std::size_t size, std::size_t count, void* self) {
  auto* const transfer = static_cast<CurlTransfer*>(self);
  const std::string_view line(data, size * count);
  return transfer->AddHeaderLine(line) ? line.size() : 0;
}

bool CurlTransfer::AddHeaderLine(std::string_view line) {
  this->first_byte = true;
  this->header_bytes += line.size();
  if (this->header_bytes > this->max_header_bytes) {
    this->too_large = true;
    return false;
  }
  if (this->header_complete) {
    // Trailer fields describe the body and are not passed on.
    return true;
  }
  const std::string_view text = TrimLine(line);
  this->malformed = !(text.empty() ? this->HandleEndOfHeader() : this->head.Add(text));
  return !this->malformed && !this->foreign;
}

bool CurlTransfer::HandleEndOfHeader() {
  long status = 0;  // NOLINT(google-runtime-int): libcurl's type.
  curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &status);
  if (status < kStatusOk) {
    return this->head.EndInterim();
  }
  this->header_complete = true;
  this->foreign = !this->exchange.echo_name.empty() && !this->HasEcho();
  return this->head.End();
}

bool CurlTransfer::HasEcho() const {
  const calls::Headers& fields = this->head.Fields();
  // A header with two of them is made of two answers.
  return FindField(fields, this->exchange.echo_name) == this->exchange.echo_value &&
         std::count_if(fields.begin(), fields.end(), [this](const auto& field) {
           return field.first == this->exchange.echo_name;
         }) <= 1;
}

std::size_t CurlTransfer::OnBody(char* data, std::size_t size, std::size_t count, void* self) {
  auto* const transfer = static_cast<CurlTransfer*>(self);
  const std::size_t bytes = size * count;
  if (transfer->body_bytes + bytes > transfer->exchange.max_response_bytes ||
      !transfer->buffers.Take(transfer->body_bytes, bytes)) {
    transfer->too_large = true;
    return 0;
  }
  transfer->body_bytes += bytes;
  transfer->response.body.append(data, bytes);
  return bytes;
}

bool CurlTransfer::HasNoBody() const {
  return this->exchange.request.method == "HEAD" || this->response.status == kStatusNoContent ||
         this->response.status == kStatusNotModified;
}

bool CurlTransfer::IsComplete() const {
  // libcurl reports success for a header that ends with its connection.
  if (!this->header_complete) {
    return false;
  }
  if (this->HasNoBody()) {
    return true;
  }
  switch (this->GetFraming()) {
    case Framing::kLength:
      return this->body_bytes == this->head.Length();
    case Framing::kChunked:
      // libcurl checks the last chunk.
      return true;
    case Framing::kConnectionEnd:
      return this->exchange.ends_with_connection;
    case Framing::kNone:
      break;
  }
  return false;
}

HttpFailure CurlTransfer::Failure(calls::BackendFailure failure, std::string detail) const {
  return HttpFailure{failure, false, std::move(detail), this->GetFraming(), this->body_bytes};
}

HttpOutcome CurlTransfer::Outcome(CURLcode result) {
  if (this->too_large) {
    return tl::unexpected(
        this->Failure(calls::BackendFailure::kTooLarge, "answer above the limit"));
  }
  if (this->foreign) {
    return tl::unexpected(this->Failure(calls::BackendFailure::kConnectionLost,
                                        "the answer belongs to another request"));
  }
  if (this->malformed) {
    return tl::unexpected(
        this->Failure(calls::BackendFailure::kConnectionLost, "answer with a malformed header"));
  }
  if (result != CURLE_OK) {
    const auto failure = this->MayBeSent() ? calls::BackendFailure::kConnectionLost
                                           : calls::BackendFailure::kNotConnected;
    return tl::unexpected(this->Failure(failure, curl_easy_strerror(result)));
  }
  long status = 0;  // NOLINT(google-runtime-int): libcurl's type.
  curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &status);
  this->response.status = static_cast<int>(status);
  if (!this->IsComplete()) {
    return tl::unexpected(
        this->Failure(calls::BackendFailure::kConnectionLost,
                      "answer broke off in its header, or has neither length nor chunks"));
  }
  this->response.headers = this->head.TakeFields();
  RemoveHopByHopFields(this->response.headers);
  return std::move(this->response);
}

}  // namespace amaranthlatch::runtime::details
