// Inputs of the membership reducer.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>

#include "amaranthlatch/membership/message.h"

namespace amaranthlatch::membership {

// The time given by NextWake() has come.
struct WakeUp {
  bool operator==(const WakeUp&) const = default;
};

struct PeerMessage {
  NodeId from;
  Message message;
  bool operator==(const PeerMessage&) const = default;
};

// A message to the peer could not be handed to the transport.
struct PeerUnreachable {
  NodeId id;
  bool operator==(const PeerUnreachable&) const = default;
};

// The backend server beside this node announced itself, first or again.
struct BackendServerAnnounced {
  std::string service;
  std::map<std::string, std::string> labels;
  std::uint32_t slots = 0;
  bool operator==(const BackendServerAnnounced&) const = default;
};

// The backend server stopped announcing itself and does not take connections.
struct BackendServerLost {
  bool operator==(const BackendServerLost&) const = default;
};

// Distribution has, or no longer has, a state that may be served.
struct ReadinessChanged {
  bool ready = false;
  bool operator==(const ReadinessChanged&) const = default;
};

// The node or its backend server begins a graceful shutdown.
struct DrainStarted {
  bool operator==(const DrainStarted&) const = default;
};

// All calls in flight have finished after a drain.
struct DrainFinished {
  bool operator==(const DrainFinished&) const = default;
};

using Event = std::variant<WakeUp, PeerMessage, PeerUnreachable, BackendServerAnnounced,
                           BackendServerLost, ReadinessChanged, DrainStarted, DrainFinished>;

}  // namespace amaranthlatch::membership
