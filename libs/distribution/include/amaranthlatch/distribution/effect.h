// Effects returned by the distribution reducer and carried out by the runtime.

#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "amaranthlatch/acceptance/record.h"
#include "amaranthlatch/distribution/event.h"
#include "amaranthlatch/distribution/message.h"
#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::distribution {

struct SendMessage {
  membership::NodeId to;
  Message message;
  bool operator==(const SendMessage&) const = default;
};

// Reads up to `limit` records starting at offset `from`. The log waits up to `wait` for the first
// one (long poll).
struct ReadLog {
  std::uint64_t request = 0;
  Stream stream = Stream::kConfig;
  Offset from = 1;
  std::uint32_t limit = 0;
  utils::Duration wait{};
  bool operator==(const ReadLog&) const = default;
};

struct AppendLog {
  std::uint64_t request = 0;
  Stream stream = Stream::kSnapshots;
  nlohmann::json value;
  bool operator==(const AppendLog&) const = default;
};

// Validation result of a record that came into force on this node.
struct VerdictInForce {
  acceptance::Verdict verdict;
  bool operator==(const VerdictInForce&) const = default;
};

// The readiness of the node changed; `reason` is empty when it is ready.
struct ReadinessChanged {
  bool ready = false;
  std::string reason;
  bool operator==(const ReadinessChanged&) const = default;
};

// Application of log entries stopped at `offset`: this release does not support the record format.
struct FoldStopped {
  Offset offset = 0;
  bool operator==(const FoldStopped&) const = default;
};

using Effect =
    std::variant<SendMessage, ReadLog, AppendLog, VerdictInForce, ReadinessChanged, FoldStopped>;

}  // namespace amaranthlatch::distribution
