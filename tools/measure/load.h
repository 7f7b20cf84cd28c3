// Load of callers on a deployment, with a check of every answer.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace amaranthlatch::tools {

enum class CallKind : std::uint8_t {
  // GET on an idempotent route.
  kRead,
  // POST without a permit; sent once.
  kOnce,
  // POST with a permit fetched first; sent again with the same permit after a failure.
  kRecord,
};

struct LoadOptions {
  // "ip:port"; threads take them in turn.
  std::vector<std::string> addresses;
  std::string host;
  CallKind kind = CallKind::kRead;
  std::uint32_t threads = 4;
  // Of all threads together; 0 sends the next call as soon as the last is answered.
  double calls_per_second = 0;
  std::uint32_t body_bytes = 64;
  // Start of every request key; keys are unique in a run.
  std::string key_prefix;
  std::chrono::milliseconds timeout{5000};
  std::vector<std::string> headers;
  // The addresses are backend servers, whose answers lack the fields of the mesh.
  bool direct = false;
  // Times that a kRecord call is sent again with its permit.
  std::uint32_t resends = 3;
};

// What became of the calls of one load.
struct LoadResult {
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  // No connection to the entry node.
  std::uint64_t refused = 0;
  // A connection, but no whole HTTP answer.
  std::uint64_t lost = 0;
  // Answers that were not the echo of their request.
  std::uint64_t mismatched = 0;
  // Calls by result code.
  std::map<std::string, std::uint64_t> codes;
  // Of answered calls, in milliseconds, ascending.
  std::vector<double> latencies_ms;
  // Keys whose last outcome was "answered" and "not-run".
  std::vector<std::string> answered_keys;
  std::vector<std::string> not_run_keys;
  double seconds = 0;

  // "0: 17, 5003: 2".
  std::string CodesText() const;
  std::uint64_t Total() const {
    return this->answered + this->not_run + this->unknown + this->refused + this->lost;
  }
};

class Load {
 public:
  explicit Load(LoadOptions options);
  // Stops the load.
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  // Ends the calls in flight and returns the result; to be called once.
  LoadResult Stop();

  // Runs a load for the given time.
  static LoadResult RunFor(LoadOptions options, std::chrono::milliseconds duration);

 private:
  void RunThread(std::uint32_t index);

  LoadOptions options;
  std::atomic<bool> stopping{false};
  std::chrono::steady_clock::time_point started;
  std::vector<LoadResult> results;
  std::vector<std::thread> threads;
};

// Compares outcomes with runs: a key run twice, a "not-run" key that ran, an answered key that did
// not run. Returns a text for each violation.
std::vector<std::string> CheckRuns(const LoadResult& result,
                                   const std::map<std::string, std::uint32_t>& runs, CallKind kind);

}  // namespace amaranthlatch::tools
