// Outputs of the membership reducer.

#pragma once

#include <string>
#include <variant>

#include "amaranthlatch/membership/message.h"

namespace amaranthlatch::membership {

struct SendMessage {
  NodeId to;
  Message message;
  bool operator==(const SendMessage&) const = default;
};

// A record was added or replaced; `after.state` tells whether it is still listed.
struct MemberChanged {
  Member after;
  bool operator==(const MemberChanged&) const = default;
};

// The failure detector entered or left hold, in which it declares no member dead.
struct HoldChanged {
  bool holding = false;
  bool operator==(const HoldChanged&) const = default;
};

using Effect = std::variant<SendMessage, MemberChanged, HoldChanged>;

}  // namespace amaranthlatch::membership
