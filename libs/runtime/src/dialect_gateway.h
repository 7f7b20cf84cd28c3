// Calls of callers in an adapter's dialect.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "amaranthlatch/directory/directory.h"
#include "amaranthlatch/runtime/adapter.h"
#include "amaranthlatch/runtime/http_server.h"
#include "amaranthlatch/runtime/line_rate_limit.h"
#include "amaranthlatch/runtime/log_line.h"
#include "amaranthlatch/runtime/metrics.h"
#include "amaranthlatch/utils/clock.h"

namespace amaranthlatch::runtime::details {

// The configuration by which calls are routed.
class ConfigurationView {
 public:
  virtual ~ConfigurationView() = default;

  virtual directory::ConfigurationStatus Status() const = 0;
  virtual bool HasHost(std::string_view host) const = 0;
};

// A call that is not answered yet.
struct OpenCall {
  utils::Timestamp begun;
  std::string name;
  std::string host;
  std::string target;
  // When the call came.
  directory::ConfigurationStatus configuration;
  // Short hash of the key of a workspace that the call presented; unset without one.
  std::optional<std::uint32_t> key_hash = std::nullopt;
};

// The line of a call that got no answer of a backend server. It tells by which version the call was
// routed, since when that is in force, and how old the knowledge is that it is the newest.
LogLine DescribeFailure(const OpenCall& call, const calls::Answer& answer,
                        const ConfigurationView& configuration, utils::Timestamp now);

class DialectGateway final : public HttpServerListener {
 public:
  // A call, or a caller that has gone.
  using Received = std::function<void(const calls::CallReceived&)>;
  using Gone = std::function<void(const calls::CallerGone&)>;

  // All references must outlive the gateway.
  DialectGateway(const utils::Clock& clock, const CallerDialect& dialect,
                 const ConfigurationView& configuration, Received received, Gone gone);

  // Must be called before the first request comes; the server must outlive the gateway's use.
  void SetServer(HttpServer& data_server) { this->server = &data_server; }

  void OnRequest(std::uint64_t request, calls::HttpRequest content) override;
  void OnCallerGone(std::uint64_t request) override;

  void Answer(calls::AnswerCaller effect);

  std::size_t OpenCalls() const { return this->open.size(); }
  // Lines of failed calls that were left out.
  std::uint64_t LinesDropped() const { return this->lines.Dropped(); }
  const DurationHistogram& CallTimes() const { return this->call_times; }
  const DurationHistogram& AddedTimes() const { return this->added_times; }

 private:
  void CountTimes(const OpenCall& call, calls::HttpResponse& response);

  const utils::Clock& clock;
  const CallerDialect& dialect;
  const ConfigurationView& configuration;
  const Received received;
  const Gone gone;
  HttpServer* server = nullptr;
  std::unordered_map<std::uint64_t, OpenCall> open;
  LineRateLimit lines;
  DurationHistogram call_times;
  DurationHistogram added_times;
};

}  // namespace amaranthlatch::runtime::details
