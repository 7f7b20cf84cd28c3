// This node's side of its backend server: announcements, runs, and whether it still lives.

#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "amaranthlatch/calls/effect.h"
#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/node/event.h"
#include "amaranthlatch/runtime/http_client.h"
#include "amaranthlatch/runtime/line_rate_limit.h"
#include "amaranthlatch/runtime/metrics.h"
#include "amaranthlatch/utils/clock.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::runtime {

// Body of POST /backend-server.
struct BackendServer {
  // Name of its process, where the backend server has one.
  std::string process;
  std::string service;
  // "ip:port" where it takes requests.
  std::string address;
  document::Labels labels;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;

  bool operator==(const BackendServer&) const = default;
};

// Strict; fails with kBadRequest and a pointer.
utils::Result<BackendServer> ParseBackendServer(const std::string& json);

// How requests are put to a backend server, and what its answers mean.
class BackendDialect {
 public:
  virtual ~BackendDialect() = default;

  virtual HttpExchange WriteExchange(const BackendServer& server,
                                     const calls::RunOnBackendServer& run) const = 0;

  // Fails where the answer is not the backend server's whole own one.
  virtual utils::Result<calls::HttpResponse> ReadResponse(calls::HttpResponse response) const = 0;
};

// The product's own protocol (docs/design.md section 7).
class OwnBackendDialect final : public BackendDialect {
 public:
  HttpExchange WriteExchange(const BackendServer& server,
                             const calls::RunOnBackendServer& run) const override;
  utils::Result<calls::HttpResponse> ReadResponse(calls::HttpResponse response) const override;
};

class BackendServerLink {
 public:
  using Report = std::function<void(const node::Event&)>;

  // `client` and `dialect` must outlive the link.
  BackendServerLink(asio::io_context& context, const utils::Clock& clock, HttpClient& client,
                    const BackendDialect& dialect, utils::Duration silent_after, Report report);
  ~BackendServerLink();

  // Reports BackendServerAnnounced. Announcements are repeated every second.
  void Announce(BackendServer server);

  // The backend server takes its leave; later losses are not reported.
  void Leave();

  void Run(const calls::RunOnBackendServer& run);
  void Cancel(std::uint64_t run);

  const std::optional<BackendServer>& Server() const { return this->server; }
  const DurationHistogram& RunTimes() const { return this->run_times; }
  // Answers that the dialect did not take.
  std::uint64_t BadAnswers() const { return this->bad_answers; }
  // Lines of failed runs above the rate that is written.
  std::uint64_t LinesDropped() const { return this->lines.Dropped(); }

 private:
  void ScheduleCheck();
  void Check();
  void OnProbed(bool accepted);
  void OnOutcome(std::uint64_t run, const std::string& name, utils::Timestamp begun,
                 HttpOutcome outcome);
  void LogFailure(const std::string& name, const HttpFailure& failure);

  asio::io_context& context;
  const utils::Clock& clock;
  HttpClient& client;
  const BackendDialect& dialect;
  const utils::Duration silent_after;
  const Report report;
  asio::steady_timer check_timer;
  std::optional<BackendServer> server;
  utils::Timestamp last_announcement{};
  // Set while announcements are expected.
  bool watching = false;
  DurationHistogram run_times;
  std::uint64_t bad_answers = 0;
  LineRateLimit lines;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace amaranthlatch::runtime
