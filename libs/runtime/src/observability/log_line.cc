// Log lines by log4cplus.

#include "amaranthlatch/runtime/log_line.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

#include <algorithm>
#include <memory>

#include "observability/log_writer.h"

namespace amaranthlatch::runtime {

namespace {

bool IsPlain(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
         std::string_view("-_.:/").find(c) != std::string_view::npos;
}

std::string Quoted(std::string_view value) {
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      quoted.push_back('\\');
    }
    // A line break in a value would forge a line of its own.
    quoted.push_back(static_cast<unsigned char>(c) < ' ' ? ' ' : c);
  }
  return quoted.append("\"");
}

log4cplus::LogLevel ToLog4cplus(LogLevel level) {
  switch (level) {
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
    case LogLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kDebug:
      break;
  }
  return log4cplus::DEBUG_LOG_LEVEL;
}

// About 2,000 lines: some seconds of a node that logs all it may.
constexpr std::size_t kMaxWaitingBytes = 262144;

// Never destroyed: a process ends while its log cannot be written.
details::LogWriter& Writer() {
  static auto* const writer = new details::LogWriter(STDOUT_FILENO, kMaxWaitingBytes);
  return *writer;
}

class WriterAppender final : public log4cplus::Appender {
 public:
  WriterAppender() = default;
  ~WriterAppender() override { this->destructorImpl(); }

  // NOLINTNEXTLINE(readability-identifier-naming): log4cplus' name.
  void close() override { this->closed = true; }

 protected:
  // NOLINTNEXTLINE(readability-identifier-naming): log4cplus' name.
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    Writer().Write(this->formatEvent(event));
  }
};

log4cplus::Logger& NodeLogger() {
  static log4cplus::Logger logger = log4cplus::Logger::getInstance("node");
  return logger;
}

}  // namespace

void SetUpLogging(LogLevel level) {
  static const log4cplus::Initializer initializer;
  log4cplus::SharedAppenderPtr appender(new WriterAppender());
  appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>("time=%d{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n"));
  NodeLogger().removeAllAppenders();
  NodeLogger().addAppender(appender);
  NodeLogger().setAdditivity(false);
  NodeLogger().setLogLevel(ToLog4cplus(level));
}

bool FlushLog(utils::Duration limit) { return Writer().Flush(limit); }

LogCounters CountLogLosses() { return {Writer().Dropped(), Writer().FailedWrites()}; }

LogLine::LogLine(std::string_view event) : text("event=") { this->text.append(event); }

LogLine& LogLine::Add(std::string_view key, std::string_view value) {
  const bool plain = !value.empty() && std::all_of(value.begin(), value.end(), IsPlain);
  this->text.append(" ").append(key).append("=");
  this->text.append(plain ? std::string(value) : Quoted(value));
  return *this;
}

LogLine& LogLine::Add(std::string_view key, std::uint64_t value) {
  this->text.append(" ").append(key).append("=").append(std::to_string(value));
  return *this;
}

void LogLine::Error() const { LOG4CPLUS_ERROR(NodeLogger(), this->text); }
void LogLine::Warn() const { LOG4CPLUS_WARN(NodeLogger(), this->text); }
void LogLine::Info() const { LOG4CPLUS_INFO(NodeLogger(), this->text); }
void LogLine::Debug() const { LOG4CPLUS_DEBUG(NodeLogger(), this->text); }

}  // namespace amaranthlatch::runtime
