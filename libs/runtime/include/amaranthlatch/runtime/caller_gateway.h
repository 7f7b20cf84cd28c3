// Translates callers' HTTP requests into events, and the node's answers into HTTP.

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "amaranthlatch/calls/effect.h"
#include "amaranthlatch/node/event.h"
#include "amaranthlatch/runtime/http_server.h"
#include "amaranthlatch/runtime/metrics.h"
#include "amaranthlatch/utils/clock.h"

namespace amaranthlatch::runtime {

class CallerGateway final : public HttpServerListener {
 public:
  using Report = std::function<void(const node::Event&)>;

  CallerGateway(const utils::Clock& clock, Report report);

  // Must be called before the first request comes; the server must outlive the gateway's use.
  void SetServer(HttpServer& data_server) { this->server = &data_server; }

  void OnRequest(std::uint64_t request, calls::HttpRequest content) override;
  void OnCallerGone(std::uint64_t request) override;

  void Answer(calls::AnswerCaller answer);
  void AnswerPermit(const calls::AnswerPermit& answer);

  std::size_t OpenCalls() const { return this->begun.size(); }
  // From the request's arrival to the answer, and that less the time of the backend server.
  const DurationHistogram& CallTimes() const { return this->call_times; }
  const DurationHistogram& AddedTimes() const { return this->added_times; }

 private:
  void AskPermit(std::uint64_t request, const calls::HttpRequest& content);
  void Refuse(std::uint64_t request, const std::string& text);
  void CountTimes(std::uint64_t call, calls::HttpResponse& response);

  const utils::Clock& clock;
  const Report report;
  HttpServer* server = nullptr;
  // Arrival of the calls that are not answered yet.
  std::unordered_map<std::uint64_t, utils::Timestamp> begun;
  DurationHistogram call_times;
  DurationHistogram added_times;
};

}  // namespace amaranthlatch::runtime
