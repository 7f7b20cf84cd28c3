// Outputs of the quota reducer.

#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/quota/limit.h"
#include "amaranthlatch/quota/message.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::quota {

struct AdmitCall {
  std::uint64_t call = 0;
  bool operator==(const AdmitCall&) const = default;
};

// The workspace has used up its quota. The call may be sent again after this time.
struct RefuseCall {
  std::uint64_t call = 0;
  utils::Duration retry_after{};
  bool operator==(const RefuseCall&) const = default;
};

struct SendMessage {
  membership::NodeId to;
  Message message;
  bool operator==(const SendMessage&) const = default;
};

// Calls of a workspace began to be refused here, or none has been refused for some time.
struct LimitStateChanged {
  std::string workspace;
  bool limited = false;
  Limit limit;
  // Calls per second that arrive here.
  double demand = 0.0;
  // Calls admitted and refused here since the state changed last.
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  bool operator==(const LimitStateChanged&) const = default;
};

using Effect = std::variant<AdmitCall, RefuseCall, SendMessage, LimitStateChanged>;

}  // namespace amaranthlatch::quota
