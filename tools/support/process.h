// Child processes of the measuring tool and of the process tests.

#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::tools {

// What a process has used so far.
struct ProcessUsage {
  std::chrono::milliseconds cpu{0};
  std::uint64_t resident_bytes = 0;

  bool operator==(const ProcessUsage&) const = default;
};

// A child process that ends with this object.
class Process {
 public:
  // Appends the output of the process to `output_file`.
  static utils::Result<Process> Start(const std::vector<std::string>& command,
                                      const std::string& output_file);

  ~Process();
  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;

  void Kill();
  // Asks for a graceful end.
  void Terminate();
  // Stops and continues the process, as a pause of its instance does.
  void Pause();
  void Resume();

  // True if the process ends within the time; its exit code is then known.
  bool WaitFor(std::chrono::milliseconds timeout);
  bool Running();
  int ExitCode() const { return this->exit_code; }
  pid_t Pid() const { return this->pid; }
  ProcessUsage Usage() const;

 private:
  explicit Process(pid_t pid) : pid(pid) {}
  void Send(int signal_number);

  // 0 after the process was reaped or moved away.
  pid_t pid = 0;
  int exit_code = -1;
};

}  // namespace amaranthlatch::tools
