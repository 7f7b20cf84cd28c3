// Effects returned by the membership reducer for its caller to perform.

#pragma once

#include <string>
#include <variant>

#include "amaranthlatch/membership/message.h"

namespace amaranthlatch::membership {

// Request to send `message` to the peer `to`.
struct SendMessage {
  NodeId to;
  Message message;
  bool operator==(const SendMessage&) const = default;
};

// A member record was added or replaced; `after` is the new record.
struct MemberChanged {
  Member after;
  bool operator==(const MemberChanged&) const = default;
};

// The failure detector entered or left a hold, during which it declares no member dead.
struct HoldChanged {
  bool holding = false;
  bool operator==(const HoldChanged&) const = default;
};

using Effect = std::variant<SendMessage, MemberChanged, HoldChanged>;

}  // namespace amaranthlatch::membership
