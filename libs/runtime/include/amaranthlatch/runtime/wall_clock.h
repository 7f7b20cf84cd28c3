// Wall time, read by the host only: for audit, logs and the first incarnation.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthlatch::runtime {

std::uint64_t WallTimeMilliseconds();

// RFC 3339 in UTC with milliseconds, for example "2026-12-04T10:56:54.123Z".
std::string FormatWallTime(std::uint64_t milliseconds);

// Reads the same form, with or without a fraction; empty for another one.
std::optional<std::uint64_t> ParseWallTime(std::string_view text);

}  // namespace amaranthlatch::runtime
