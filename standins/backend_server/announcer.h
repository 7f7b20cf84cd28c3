// Announces the backend server to the node beside it, once a second until it leaves.

#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include "standins/backend_server/options.h"

namespace amaranthlatch::standins {

class Announcer {
 public:
  explicit Announcer(const BackendOptions& options);
  // Stops announcing without taking leave, as a crash does.
  ~Announcer();
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

  // Tells the node that the backend server leaves.
  void Leave();

 private:
  void Run();

  std::string url;
  std::string body;
  std::mutex mutex;
  std::condition_variable stopped;
  // Guarded by `mutex`.
  bool stopping = false;
  std::thread thread;
};

}  // namespace amaranthlatch::standins
