// Calls of callers in an adapter's dialect.

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "amaranthlatch/runtime/adapter.h"
#include "amaranthlatch/runtime/http_server.h"
#include "amaranthlatch/runtime/metrics.h"
#include "amaranthlatch/utils/clock.h"

namespace amaranthlatch::runtime::details {

class DialectGateway final : public HttpServerListener {
 public:
  // A call, or a caller that has gone.
  using Received = std::function<void(const calls::CallReceived&)>;
  using Gone = std::function<void(const calls::CallerGone&)>;

  DialectGateway(const utils::Clock& clock, const CallerDialect& dialect, Received received,
                 Gone gone);

  // Must be called before the first request comes; the server must outlive the gateway's use.
  void SetServer(HttpServer& data_server) { this->server = &data_server; }

  void OnRequest(std::uint64_t request, calls::HttpRequest content) override;
  void OnCallerGone(std::uint64_t request) override;

  void Answer(calls::AnswerCaller effect);

  std::size_t OpenCalls() const { return this->open.size(); }
  // Lines of failed calls that were left out.
  std::uint64_t LinesDropped() const { return this->lines_dropped; }
  const DurationHistogram& CallTimes() const { return this->call_times; }
  const DurationHistogram& AddedTimes() const { return this->added_times; }

 private:
  struct OpenCall {
    utils::Timestamp begun;
    std::string name;
    std::string target;
  };

  void CountTimes(const OpenCall& call, calls::HttpResponse& response);
  void LogFailure(const OpenCall& call, const calls::Answer& answer);

  const utils::Clock& clock;
  const CallerDialect& dialect;
  const Received received;
  const Gone gone;
  HttpServer* server = nullptr;
  std::unordered_map<std::uint64_t, OpenCall> open;
  // Lines written in this second.
  utils::Timestamp log_second{};
  std::uint32_t logged = 0;
  std::uint64_t lines_dropped = 0;
  DurationHistogram call_times;
  DurationHistogram added_times;
};

}  // namespace amaranthlatch::runtime::details
