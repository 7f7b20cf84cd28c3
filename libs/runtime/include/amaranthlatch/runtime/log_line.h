// Log lines of a node: "event=... key=value ...", written at changes of state only.
//
// Lines are written to standard output by a thread of their own. If nobody reads them, they wait in
// bounded memory and further ones are dropped and counted: writing never holds up the caller.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "amaranthlatch/runtime/settings.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime {

// Sends lines of the level and above to standard output.
void SetUpLogging(LogLevel level);

// Waits until all lines are written, for the given time at most. Returns whether they are.
bool FlushLog(utils::Duration limit);

// What the log of this process has lost so far.
struct LogCounters {
  // Lines that found no room.
  std::uint64_t lines_dropped = 0;
  // Writes of one or more lines that standard output refused.
  std::uint64_t writes_failed = 0;
  bool operator==(const LogCounters&) const = default;
};
LogCounters CountLogLosses();

class LogLine {
 public:
  explicit LogLine(std::string_view event);

  // Values with other characters than letters, digits and "-_.:/" are put in quotes.
  LogLine& Add(std::string_view key, std::string_view value);
  LogLine& Add(std::string_view key, std::uint64_t value);

  const std::string& Text() const { return this->text; }

  void Error() const;
  void Warn() const;
  void Info() const;
  void Debug() const;

 private:
  std::string text;
};

}  // namespace amaranthlatch::runtime
