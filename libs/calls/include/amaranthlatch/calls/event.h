// Events handled by the calls reducer.

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

// A request from a caller. The host assigns `call`, which is unique within this process.
struct CallReceived {
  std::uint64_t call = 0;
  HttpRequest request;
  // From Amaranthlatch-Deadline-Ms; if absent, the deadline of the route applies.
  std::optional<utils::Duration> remaining;
  std::string permit = {};
  // Fields of the request that concern workspaces, as received. They are not in `request`, or are
  // its last fields if they are forwarded.
  Headers credentials = {};
  bool credentials_forwarded = false;
  // Key of a workspace from the credentials; empty if they contain none in a valid form.
  std::string key = {};
  // Set by the authorization of the call; empty for a call that belongs to no workspace.
  std::string workspace = {};
  // Used in place of the priority of the route if set.
  std::optional<document::Priority> priority = std::nullopt;
  bool operator==(const CallReceived&) const = default;
};

// The caller closed its connection before it received the answer.
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

// The transport rejected the CallRequest of this attempt, which has not left this process. Not
// emitted for any other message type.
struct AttemptNotSent {
  AttemptId id;
  bool operator==(const AttemptNotSent&) const = default;
};

struct PeerUnreachable {
  membership::NodeId id;
  bool operator==(const PeerUnreachable&) const = default;
};

// The complete response to RunOnBackendServer, with its length verified.
struct BackendServerAnswered {
  std::uint64_t run = 0;
  HttpResponse response;
  bool operator==(const BackendServerAnswered&) const = default;
};

enum class BackendFailure : std::uint8_t {
  // The connection could not be established; no byte of the request was sent.
  kNotConnected,
  // The connection was lost or the response truncated after bytes had been sent.
  kConnectionLost,
  // No response byte arrived before the timeout, although a new connection succeeded.
  kSilent,
  // The response exceeds the size limit.
  kTooLarge,
  // The run was cancelled by CancelOnBackendServer.
  kCancelled,
};

struct BackendServerFailed {
  std::uint64_t run = 0;
  BackendFailure failure = BackendFailure::kConnectionLost;
  // The backend server refuses new connections, so its process is assumed dead.
  bool process_dead = false;
  bool operator==(const BackendServerFailed&) const = default;
};

// State of the local backend server; `available` is false if there is none.
struct BackendServerChanged {
  std::string service;
  std::uint32_t slots = 0;
  bool available = false;
  bool operator==(const BackendServerChanged&) const = default;
};

// Whether this node may admit work: it is ready and not revalidating its state after a pause.
struct AdmissionChanged {
  bool open = false;
  bool operator==(const AdmissionChanged&) const = default;
};

struct DrainStarted {
  bool operator==(const DrainStarted&) const = default;
};

// This process ends after `time_left`, by which every caller gets an answer. Calls are admitted
// until DrainStarted. Only the first such event counts.
struct ShutdownScheduled {
  utils::Duration time_left{};
  bool operator==(const ShutdownScheduled&) const = default;
};

using Event =
    std::variant<WakeUp, CallReceived, CallerGone, PermitAsked, PeerMessage, AttemptNotSent,
                 PeerUnreachable, BackendServerAnswered, BackendServerFailed, BackendServerChanged,
                 AdmissionChanged, DrainStarted, ShutdownScheduled>;

}  // namespace amaranthlatch::calls
