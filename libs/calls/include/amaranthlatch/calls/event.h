// Inputs of the calls reducer.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "amaranthlatch/calls/message.h"
#include "amaranthlatch/calls/request.h"
#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls {

struct WakeUp {
  bool operator==(const WakeUp&) const = default;
};

// A caller's request; `call` is chosen by the host and unique in this process.
struct CallReceived {
  std::uint64_t call = 0;
  HttpRequest request;
  // From Amaranthlatch-Deadline-Ms; without it the route's deadline counts.
  std::optional<utils::Duration> remaining;
  std::string permit;
  bool operator==(const CallReceived&) const = default;
};

// The caller closed its connection before the answer.
struct CallerGone {
  std::uint64_t call = 0;
  bool operator==(const CallerGone&) const = default;
};

struct PermitAsked {
  std::uint64_t request = 0;
  std::string host;
  std::string path;
  std::string method;
  bool operator==(const PermitAsked&) const = default;
};

struct PeerMessage {
  membership::NodeId from;
  Message message;
  bool operator==(const PeerMessage&) const = default;
};

// The transport refused the CallRequest of this attempt: it has not left this process. Given for no
// other kind of message.
struct AttemptNotSent {
  AttemptId id;
  bool operator==(const AttemptNotSent&) const = default;
};

struct PeerUnreachable {
  membership::NodeId id;
  bool operator==(const PeerUnreachable&) const = default;
};

// The answer to RunOnBackendServer, complete and checked for length.
struct BackendServerAnswered {
  std::uint64_t run = 0;
  HttpResponse response;
  bool operator==(const BackendServerAnswered&) const = default;
};

enum class BackendFailure : std::uint8_t {
  // No connection could be made: no byte of the request was sent.
  kNotConnected,
  // The connection was lost or the answer broken off after bytes were sent.
  kConnectionLost,
  // No byte of an answer within the time; a new connection works: the old one was silent.
  kSilent,
  // The answer is larger than allowed.
  kTooLarge,
  // Ended by CancelOnBackendServer.
  kCancelled,
};

struct BackendServerFailed {
  std::uint64_t run = 0;
  BackendFailure failure = BackendFailure::kConnectionLost;
  // The backend server refuses new connections: its process has died.
  bool process_dead = false;
  bool operator==(const BackendServerFailed&) const = default;
};

// The backend server beside this node; null without one.
struct BackendServerChanged {
  std::string service;
  std::uint32_t slots = 0;
  bool available = false;
  bool operator==(const BackendServerChanged&) const = default;
};

// Whether this node may admit work (readiness, and no recheck after a pause).
struct AdmissionChanged {
  bool open = false;
  bool operator==(const AdmissionChanged&) const = default;
};

struct DrainStarted {
  bool operator==(const DrainStarted&) const = default;
};

using Event =
    std::variant<WakeUp, CallReceived, CallerGone, PermitAsked, PeerMessage, AttemptNotSent,
                 PeerUnreachable, BackendServerAnswered, BackendServerFailed, BackendServerChanged,
                 AdmissionChanged, DrainStarted>;

}  // namespace amaranthlatch::calls
