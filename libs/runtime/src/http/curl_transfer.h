// One exchange on a libcurl easy handle.

#pragma once

#include <curl/curl.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "amaranthlatch/runtime/http_client.h"
#include "http/response_buffers.h"
#include "http/response_head.h"

namespace amaranthlatch::runtime::details {

struct SlistDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

class CurlTransfer {
 public:
  // `easy` is borrowed and fresh or reset; `buffers` must outlive the transfer.
  CurlTransfer(CURL* easy, HttpExchange exchange, ResponseBuffers& buffers,
               std::size_t max_header_bytes, utils::Duration connect_limit);
  ~CurlTransfer();
  CurlTransfer(const CurlTransfer&) = delete;
  CurlTransfer& operator=(const CurlTransfer&) = delete;

  // Must be called before the transfer starts.
  void RequireNewConnection() { curl_easy_setopt(this->easy, CURLOPT_FRESH_CONNECT, 1L); }

  CURL* Easy() const { return this->easy; }
  const HttpExchange& Exchange() const { return this->exchange; }
  bool HasFirstByte() const { return this->first_byte; }
  // Whether the answer belongs to another request.
  bool IsForeign() const { return this->foreign; }
  // kNone before the end of the header.
  Framing GetFraming() const {
    return this->header_complete ? this->head.GetFraming() : Framing::kNone;
  }

  // Whether a byte of the request may have been written.
  bool MayBeSent() const;

  // The outcome of a transfer that libcurl reported as done. `process_dead` is not decided here.
  HttpOutcome Outcome(CURLcode result);

 private:
  static int BeforeRequest(void* self, char* remote_ip, char* local_ip, int remote_port,
                           int local_port);
  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count, void* self);
  static std::size_t OnBody(char* data, std::size_t size, std::size_t count, void* self);

  void SetRequest();
  void SetMethod();
  void AddHeaders();
  void AddHeader(const std::string& line);
  bool AddHeaderLine(std::string_view line);
  // Returns false if the header is malformed.
  bool HandleEndOfHeader();
  // Whether the answer repeats what it must.
  bool HasEcho() const;
  bool IsComplete() const;
  bool HasNoBody() const;
  HttpFailure Failure(calls::BackendFailure failure, std::string detail) const;

  CURL* easy;
  HttpExchange exchange;
  ResponseBuffers& buffers;
  // Bytes taken from `buffers`.
  std::size_t body_bytes = 0;
  std::size_t max_header_bytes;
  std::unique_ptr<curl_slist, SlistDeleter> headers;
  ResponseHead head;
  calls::HttpResponse response;
  std::size_t header_bytes = 0;
  // How often libcurl has begun to write the request.
  int writes = 0;
  bool first_byte = false;
  // The empty line that ends the header of the final answer has been read.
  bool header_complete = false;
  bool too_large = false;
  bool foreign = false;
  bool malformed = false;
};

}  // namespace amaranthlatch::runtime::details
