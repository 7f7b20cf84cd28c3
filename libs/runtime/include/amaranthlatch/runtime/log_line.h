// Log lines of a node: "event=... key=value ...", written at changes of state only.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "amaranthlatch/runtime/settings.h"

namespace amaranthlatch::runtime {

// Sends lines of the level and above to standard error.
void SetUpLogging(LogLevel level);

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
