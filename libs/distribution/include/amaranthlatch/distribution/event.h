// Events processed by the distribution reducer.

#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "amaranthlatch/distribution/message.h"
#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::distribution {

enum class Stream : std::uint8_t { kConfig, kSnapshots };

struct WakeUp {
  bool operator==(const WakeUp&) const = default;
};

struct PeerMessage {
  membership::NodeId from;
  Message message;
  bool operator==(const PeerMessage&) const = default;
};

struct PeerUnreachable {
  membership::NodeId id;
  bool operator==(const PeerUnreachable&) const = default;
};

struct LogRecord {
  Offset offset = 0;
  nlohmann::json value;
  bool operator==(const LogRecord&) const = default;
};

// Response to the ReadLog with the same `request`.
struct LogRead {
  std::uint64_t request = 0;
  Stream stream = Stream::kConfig;
  Offset first_kept = 0;
  Offset head = 0;
  Offset next = 0;
  std::vector<LogRecord> records;
  bool operator==(const LogRead&) const = default;
};

// `first_kept` is set if the log no longer retains the requested offset (kLogTruncated).
struct LogReadFailed {
  std::uint64_t request = 0;
  Stream stream = Stream::kConfig;
  utils::Error error;
  std::optional<Offset> first_kept;
  bool operator==(const LogReadFailed&) const = default;
};

// Response to the AppendLog with the same `request`.
struct LogAppendDone {
  std::uint64_t request = 0;
  Offset offset = 0;
  bool operator==(const LogAppendDone&) const = default;
};

// The outcome of the append is unknown: the record may have been written.
struct LogAppendFailed {
  std::uint64_t request = 0;
  utils::Error error;
  bool operator==(const LogAppendFailed&) const = default;
};

using Event = std::variant<WakeUp, PeerMessage, PeerUnreachable, LogRead, LogReadFailed,
                           LogAppendDone, LogAppendFailed>;

}  // namespace amaranthlatch::distribution
