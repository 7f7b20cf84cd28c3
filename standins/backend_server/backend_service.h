// Behaviour of the stand-in for a backend server: slots, runs, and faults that can be switched on.

#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "standins/backend_server/forwarder.h"
#include "standins/backend_server/options.h"
#include "standins/support/simple_server.h"

namespace amaranthlatch::standins {

// How the backend server misbehaves; all off after the start.
struct BackendFaults {
  // Refuses new work with 503 and a truthful Amaranthlatch-Not-Run.
  bool shed = false;
  // Answers with half of the body, then closes.
  bool truncate = false;
  // Load that /load reports; below 0 reports the real one.
  int reported_load = -1;
};

class BackendService {
 public:
  BackendService(asio::io_context& context, const BackendOptions& options);

  void Handle(const Request& request, const Respond& respond);

  // Calls `done` once no request is in flight.
  void WhenIdle(std::function<void()> done);

 private:
  void HandleControl(const Request& request, const Respond& respond);
  void SetFaults(const nlohmann::json& body);
  void Run(const Request& request, const Respond& respond);
  void Work(const Request& request, const Respond& respond);
  void Forward(const Request& request, const Respond& respond);
  void Finish(const Request& request, const Respond& respond);
  void RecordRun(const Request& request);
  std::chrono::milliseconds WorkTime() const;

  asio::io_context& context;
  BackendOptions options;
  BackendFaults faults;
  std::chrono::steady_clock::time_point started;
  // Runs by request key: the field X-Request-Key or, without it, the target.
  std::map<std::string, std::uint32_t> runs;
  // Connections that were open when they were told to go silent: no answer leaves on them.
  std::set<std::uint64_t> connections;
  std::set<std::uint64_t> silent_connections;
  std::uint32_t in_flight = 0;
  std::uint64_t total_runs = 0;
  std::uint64_t shed_count = 0;
  std::uint64_t expired_count = 0;
  std::ofstream runs_file;
  std::function<void()> idle;
  Forwarder forwarder;
};

}  // namespace amaranthlatch::standins
