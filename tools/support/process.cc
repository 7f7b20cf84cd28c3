// Child processes of the measuring tool and of the process tests.

#include "tools/support/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

extern char** environ;

namespace amaranthlatch::tools {

namespace {

constexpr std::chrono::milliseconds kPollInterval{2};
constexpr int kOutputMode = 0644;
constexpr int kMillisecondsPerSecond = 1000;
// Positions of the fields of /proc/PID/stat after the process name.
constexpr int kUserTimeField = 11;
constexpr int kResidentPagesField = 21;

int DecodeStatus(int status) { return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status); }

}  // namespace

utils::Result<Process> Process::Start(const std::vector<std::string>& command,
                                      const std::string& output_file) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& part : command) {
    arguments.push_back(const_cast<char*>(part.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kOutputMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = 0;
  const int error =
      posix_spawn(&pid, command.front().c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    return utils::Fail(utils::ErrorCode::kUsage, "cannot start " + command.front());
  }
  return Process(pid);
}

Process::~Process() { this->Kill(); }

Process::Process(Process&& other) noexcept
    : pid(std::exchange(other.pid, 0)), exit_code(other.exit_code) {}

Process& Process::operator=(Process&& other) noexcept {
  if (this != &other) {
    this->Kill();
    this->pid = std::exchange(other.pid, 0);
    this->exit_code = other.exit_code;
  }
  return *this;
}

void Process::Kill() {
  if (this->pid == 0) {
    return;
  }
  this->Send(SIGKILL);
  int status = 0;
  waitpid(this->pid, &status, 0);
  this->exit_code = DecodeStatus(status);
  this->pid = 0;
}

void Process::Terminate() { this->Send(SIGTERM); }
void Process::Pause() { this->Send(SIGSTOP); }
void Process::Resume() { this->Send(SIGCONT); }

bool Process::WaitFor(std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (this->Running()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

bool Process::Running() {
  if (this->pid == 0) {
    return false;
  }
  int status = 0;
  if (waitpid(this->pid, &status, WNOHANG) != this->pid) {
    return true;
  }
  this->exit_code = DecodeStatus(status);
  this->pid = 0;
  return false;
}

ProcessUsage Process::Usage() const {
  std::ifstream file("/proc/" + std::to_string(this->pid) + "/stat");
  std::stringstream text;
  text << file.rdbuf();
  const std::string content = text.str();
  const std::size_t name_end = content.rfind(')');
  if (name_end == std::string::npos) {
    return {};
  }
  std::istringstream fields(content.substr(name_end + 1));
  std::vector<std::string> values;
  for (std::string value; fields >> value;) {
    values.push_back(value);
  }
  const std::int64_t ticks =
      std::stoll(values.at(kUserTimeField)) + std::stoll(values.at(kUserTimeField + 1));
  ProcessUsage usage;
  usage.cpu = std::chrono::milliseconds(ticks * kMillisecondsPerSecond / sysconf(_SC_CLK_TCK));
  usage.resident_bytes = std::stoull(values.at(kResidentPagesField)) *
                         static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  return usage;
}

void Process::Send(int signal_number) {
  if (this->pid > 0) {
    kill(this->pid, signal_number);
  }
}

}  // namespace amaranthlatch::tools
