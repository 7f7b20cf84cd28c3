// HTTP protocol of the stand-in for the platform's log, with faults that can be switched on.

#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "standins/platform_log/log_store.h"
#include "standins/support/simple_server.h"

namespace amaranthlatch::standins {

// How the log misbehaves; all off after the start.
struct LogFaults {
  // Answers 503 to everything but the fault interface.
  bool down = false;
  // Delay before every answer.
  std::chrono::milliseconds delay{0};
  // Number of appends that take effect and are then answered with 503.
  std::uint32_t lost_answers = 0;
  // Appends a second above which the log answers 429.
  std::uint32_t appends_per_second = 300;
};

// Counts since the start, for measurements.
struct LogCounters {
  std::uint64_t appends = 0;
  std::uint64_t reads = 0;
  std::uint64_t records_read = 0;
  std::uint64_t bytes_read = 0;
  std::uint64_t refused = 0;
};

class LogService {
 public:
  explicit LogService(asio::io_context& context) : context(context) {}

  void Handle(const Request& request, const Respond& respond);

 private:
  struct Waiter {
    std::string stream;
    std::uint64_t from = 1;
    std::size_t limit = 0;
    Respond respond;
    asio::steady_timer timer;
  };

  void HandleStream(const std::string& stream, const Request& request, const Respond& respond);
  void Append(const std::string& stream, const Request& request, const Respond& respond);
  void Read(const std::string& stream, const Request& request, const Respond& respond);
  void Wait(const std::string& stream, std::uint64_t from, std::size_t limit,
            std::chrono::milliseconds wait, const Respond& respond);
  void WakeWaiters(const std::string& stream);
  // Answers and forgets the waiters that `selects` chooses.
  void EndWaiters(const std::function<bool(const Waiter&)>& selects,
                  const std::function<void(const Waiter&)>& answer);
  void AnswerPage(const StreamPage& page, const Respond& respond);
  void SetFaults(const nlohmann::json& body);
  bool TakeAppendToken();
  // Answers after the delay of the faults.
  void Reply(const Respond& respond, int status, const nlohmann::json& body);

  asio::io_context& context;
  LogStore store;
  LogFaults faults;
  LogCounters counters;
  std::list<Waiter> waiters;
  std::chrono::steady_clock::time_point window_start{};
  std::uint32_t window_appends = 0;
};

}  // namespace amaranthlatch::standins
