// Inputs of the quota reducer.

#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/quota/limit.h"
#include "amaranthlatch/quota/message.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::quota {

// The time returned by Quota::NextWake has been reached.
struct WakeUp {
  bool operator==(const WakeUp&) const = default;
};

// A configuration with these limits is in force. Null stands for no limits.
struct LimitsChanged {
  LimitsPointer limits;
  bool operator==(const LimitsChanged&) const = default;
};

// The members were listed, and the record of this node is stored where the others find it.
struct MembersListed {
  // The listing held a record of an earlier process of this node, so that all nodes that list the
  // members count this node already.
  bool was_listed = false;
  bool operator==(const MembersListed&) const = default;
};

// A call of a workspace waits for AdmitCall or RefuseCall. Without a workspace it is admitted.
struct CallArrived {
  std::uint64_t call = 0;
  std::string workspace;
  bool operator==(const CallArrived&) const = default;
};

// The call is gone before it was admitted or refused.
struct CallGone {
  std::uint64_t call = 0;
  bool operator==(const CallGone&) const = default;
};

// A call that was admitted at this time ended without having run.
struct CallNotRun {
  std::string workspace;
  utils::Timestamp admitted_at{};
  bool operator==(const CallNotRun&) const = default;
};

// A message of another node.
struct PeerMessage {
  membership::NodeId from;
  Message message;
  bool operator==(const PeerMessage&) const = default;
};

// The connection to another node was lost or cannot be established.
struct PeerUnreachable {
  membership::NodeId id;
  bool operator==(const PeerUnreachable&) const = default;
};

using Event = std::variant<WakeUp, LimitsChanged, MembersListed, CallArrived, CallGone, CallNotRun,
                           PeerMessage, PeerUnreachable>;

}  // namespace amaranthlatch::quota
