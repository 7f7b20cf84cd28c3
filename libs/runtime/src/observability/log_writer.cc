// The thread that writes.

#include "observability/log_writer.h"

#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <utility>

namespace amaranthlatch::runtime::details {

LogWriter::LogWriter(int descriptor, std::size_t max_bytes)
    : descriptor(descriptor), max_bytes(max_bytes), thread([this] { this->Run(); }) {}

LogWriter::~LogWriter() {
  {
    const std::lock_guard lock(this->mutex);
    this->ending = true;
    this->waiting.clear();
  }
  this->changed.notify_all();
  this->thread.join();
}

void LogWriter::Write(const std::string& line) {
  {
    const std::lock_guard lock(this->mutex);
    if (this->waiting.size() + line.size() > this->max_bytes) {
      ++this->dropped;
      return;
    }
    this->waiting.append(line);
  }
  this->changed.notify_all();
}

bool LogWriter::Flush(utils::Duration limit) {
  std::unique_lock lock(this->mutex);
  return this->changed.wait_for(lock, std::chrono::microseconds(limit),
                                [this] { return this->waiting.empty() && !this->writing; });
}

void LogWriter::Run() {
  std::unique_lock lock(this->mutex);
  while (true) {
    this->changed.wait(lock, [this] { return !this->waiting.empty() || this->ending; });
    if (this->ending) {
      return;
    }
    const std::string text = std::exchange(this->waiting, {});
    this->writing = true;
    lock.unlock();
    this->WriteOut(text);
    lock.lock();
    this->writing = false;
    this->changed.notify_all();
  }
}

void LogWriter::WriteOut(const std::string& text) {
  std::size_t done = 0;
  while (done < text.size()) {
    const ssize_t bytes = write(this->descriptor, text.data() + done, text.size() - done);
    if (bytes >= 0) {
      done += static_cast<std::size_t>(bytes);
    } else if (errno != EINTR) {
      // Nobody reads the log any more, and there is no other place to report it.
      ++this->failed_writes;
      return;
    }
  }
}

}  // namespace amaranthlatch::runtime::details
