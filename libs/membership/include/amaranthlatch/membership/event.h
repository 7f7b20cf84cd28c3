// Input events of the membership reducer.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>

#include "amaranthlatch/membership/message.h"

namespace amaranthlatch::membership {

// The time returned by NextWake() has been reached.
struct WakeUp {
  bool operator==(const WakeUp&) const = default;
};

// A message received from a peer.
struct PeerMessage {
  NodeId from;
  Message message;
  bool operator==(const PeerMessage&) const = default;
};

// A message to this peer could not be passed to the transport.
struct PeerUnreachable {
  NodeId id;
  bool operator==(const PeerUnreachable&) const = default;
};

// The local backend server announced itself for the first time or repeated its announcement.
struct BackendServerAnnounced {
  std::string service;
  std::map<std::string, std::string> labels;
  std::uint32_t slots = 0;
  bool operator==(const BackendServerAnnounced&) const = default;
};

// The local backend server stopped its announcements and accepts no connections.
struct BackendServerLost {
  bool operator==(const BackendServerLost&) const = default;
};

// Whether the distribution component has a state that may be served.
struct ReadinessChanged {
  bool ready = false;
  bool operator==(const ReadinessChanged&) const = default;
};

// The node or its backend server started a graceful shutdown.
struct DrainStarted {
  bool operator==(const DrainStarted&) const = default;
};

// All calls in flight have finished after the start of a drain.
struct DrainFinished {
  bool operator==(const DrainFinished&) const = default;
};

using Event = std::variant<WakeUp, PeerMessage, PeerUnreachable, BackendServerAnnounced,
                           BackendServerLost, ReadinessChanged, DrainStarted, DrainFinished>;

}  // namespace amaranthlatch::membership
