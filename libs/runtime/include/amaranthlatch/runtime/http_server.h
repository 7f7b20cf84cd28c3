// Incoming HTTP: callers' requests at the data address, operators' at the admin address.

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "amaranthlatch/calls/request.h"
#include "amaranthlatch/utils/error_code.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime {

struct ServerResponse {
  calls::HttpResponse response;
  calls::ResultKind kind = calls::ResultKind::kAnswered;
  utils::ErrorCode code = utils::ErrorCode::kOk;
  bool no_retry = false;
};

// What a server reports. All calls come on the io_context's thread.
class HttpServerListener {
 public:
  virtual ~HttpServerListener() = default;

  // A complete request without hop-by-hop fields. Each is answered once by Respond, which may be
  // called from here.
  virtual void OnRequest(std::uint64_t request, calls::HttpRequest content) = 0;

  // The caller closed its connection; no answer can be given any more.
  virtual void OnCallerGone(std::uint64_t request) = 0;
};

struct HttpServerCounters {
  std::uint64_t requests = 0;
  std::uint64_t connections_accepted = 0;
  std::uint64_t connections_refused = 0;
  std::uint64_t bad_requests = 0;
  std::uint64_t callers_gone = 0;
  std::uint64_t timeouts = 0;
  // Refused because the memory for requests and answers was in use.
  std::uint64_t requests_without_memory = 0;
  std::size_t connections = 0;
};

class HttpServer {
 public:
  virtual ~HttpServer() = default;

  // No effect for a request whose caller is gone.
  virtual void Respond(std::uint64_t request, ServerResponse response) = 0;

  // Asks callers to close their connections after the next answer; takes new ones still.
  virtual void AskToClose() = 0;

  // Takes no new connections; open ones are closed after their next answer.
  virtual void BeginShutdown() = 0;

  virtual std::uint16_t Port() const = 0;
  virtual const HttpServerCounters& Counters() const = 0;
};

// An answer of this node itself: a JSON body with code, name and text, and the matching status.
ServerResponse MakeErrorResponse(utils::ErrorCode code, calls::ResultKind kind,
                                 const std::string& message);

// Value of the header Amaranthlatch-Result.
const char* ToString(calls::ResultKind kind);

}  // namespace amaranthlatch::runtime
