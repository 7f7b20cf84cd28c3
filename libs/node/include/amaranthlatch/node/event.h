// Events that the node reducer handles. Events for a single module use that module's types.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>

#include "amaranthlatch/calls/event.h"
#include "amaranthlatch/distribution/event.h"
#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/node/message.h"

namespace amaranthlatch::node {

struct WakeUp {
  bool operator==(const WakeUp&) const = default;
};

// An authenticated message from another node.
struct MessageReceived {
  membership::NodeId from;
  Message message;
  bool operator==(const MessageReceived&) const = default;
};

// The transport rejected the message; it has not left this process.
struct MessageNotSent {
  membership::NodeId to;
  Message message;
  bool operator==(const MessageNotSent&) const = default;
};

// The link to the peer is lost. Messages already passed to the transport may or may not have
// arrived.
struct PeerUnreachable {
  membership::NodeId id;
  bool operator==(const PeerUnreachable&) const = default;
};

struct BackendServerAnnounced {
  std::string service;
  std::map<std::string, std::string> labels;
  std::uint32_t slots = 0;
  bool operator==(const BackendServerAnnounced&) const = default;
};

struct BackendServerLost {
  bool operator==(const BackendServerLost&) const = default;
};

struct DrainRequested {
  bool operator==(const DrainRequested&) const = default;
};

using Event =
    std::variant<WakeUp, MessageReceived, MessageNotSent, PeerUnreachable, BackendServerAnnounced,
                 BackendServerLost, DrainRequested, distribution::LogRead,
                 distribution::LogReadFailed, distribution::LogAppendDone,
                 distribution::LogAppendFailed, calls::CallReceived, calls::CallerGone,
                 calls::PermitAsked, calls::BackendServerAnswered, calls::BackendServerFailed>;

}  // namespace amaranthlatch::node
