// Conversion of wall time.

#include "amaranthlatch/runtime/wall_clock.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>

namespace amaranthlatch::runtime {

namespace {

constexpr std::uint64_t kMillisecondsPerSecond = 1000;

}  // namespace

std::uint64_t WallTimeMilliseconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

std::string FormatWallTime(std::uint64_t milliseconds) {
  const auto seconds = static_cast<std::time_t>(milliseconds / kMillisecondsPerSecond);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 64> text{};
  const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text.data() + length, text.size() - length, ".%03dZ",
                static_cast<int>(milliseconds % kMillisecondsPerSecond));
  return text.data();
}

std::optional<std::uint64_t> ParseWallTime(std::string_view text) {
  constexpr std::size_t kSecondsLength = 19;
  std::tm parts{};
  const std::string seconds_text(text.substr(0, kSecondsLength));
  const char* const end = strptime(seconds_text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
  if (text.size() <= kSecondsLength || text.back() != 'Z' || end == nullptr || *end != '\0') {
    return std::nullopt;
  }
  std::uint64_t milliseconds = 0;
  std::uint64_t scale = kMillisecondsPerSecond / 10;
  const std::string_view rest = text.substr(kSecondsLength, text.size() - kSecondsLength - 1);
  if (!rest.empty() && rest.front() != '.') {
    return std::nullopt;
  }
  for (const char c : rest.substr(rest.empty() ? 0 : 1)) {
    if (c < '0' || c > '9') {
      return std::nullopt;
    }
    milliseconds += static_cast<std::uint64_t>(c - '0') * scale;
    scale /= 10;
  }
  const std::time_t seconds = timegm(&parts);
  if (seconds < 0) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(seconds) * kMillisecondsPerSecond + milliseconds;
}

}  // namespace amaranthlatch::runtime
