// Writes log lines on a thread of its own, so that a reader that does not read never holds up the
// process.
//
// Lines wait in bounded memory. When it is full, the newest lines are dropped and counted: the
// oldest ones tell how the trouble began.

#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

#include "amaranthlatch/utils/clock.h"

namespace amaranthlatch::runtime::details {

class LogWriter {
 public:
  // Writes to the descriptor, which stays open; at most max_bytes wait.
  LogWriter(int descriptor, std::size_t max_bytes);
  // Drops what is still waiting; returns after the write in progress.
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  // Takes a line with its line break. Never waits for the descriptor.
  void Write(const std::string& line);

  // Waits until all lines are written, for the given time at most. Returns whether they are.
  bool Flush(utils::Duration limit);

  // Lines that found no room.
  std::uint64_t Dropped() const { return this->dropped; }
  // Writes that the descriptor refused; the lines in them are lost.
  std::uint64_t FailedWrites() const { return this->failed_writes; }

 private:
  void Run();
  void WriteOut(const std::string& text);

  const int descriptor;
  const std::size_t max_bytes;
  std::mutex mutex;
  std::condition_variable changed;
  // Guarded by the mutex; never longer than max_bytes.
  std::string waiting;
  // Guarded by the mutex.
  bool writing = false;
  bool ending = false;
  std::atomic<std::uint64_t> dropped = 0;
  std::atomic<std::uint64_t> failed_writes = 0;
  std::thread thread;
};

}  // namespace amaranthlatch::runtime::details
