// Exit codes of the command line, for scripts.

#pragma once

namespace amaranthlatch::cli {

inline constexpr int kExitOk = 0;
inline constexpr int kExitRefused = 1;
inline constexpr int kExitUsage = 2;
// Nothing was changed: the log or the node does not answer.
inline constexpr int kExitUnreachable = 3;
// The record may have been appended, or its verdict could not be learned.
inline constexpr int kExitUnknown = 4;
inline constexpr int kExitLagging = 5;

// Of the command `check`.
inline constexpr int kExitWarnings = 1;
inline constexpr int kExitErrors = 2;

}  // namespace amaranthlatch::cli
