// Effects returned by the calls reducer.

#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "amaranthlatch/calls/event.h"
#include "amaranthlatch/calls/message.h"
#include "amaranthlatch/calls/request.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls {

struct SendMessage {
  membership::NodeId to;
  Message message;
  bool operator==(const SendMessage&) const = default;
};

// Answers the caller of a CallReceived event; emitted exactly once for each call.
struct AnswerCaller {
  std::uint64_t call = 0;
  Answer answer;
  bool operator==(const AnswerCaller&) const = default;
};

struct AnswerPermit {
  std::uint64_t request = 0;
  utils::ErrorCode code = utils::ErrorCode::kOk;
  std::string permit;
  std::uint32_t expires_in_ms = 0;
  bool operator==(const AnswerPermit&) const = default;
};

// Sends a request to this node's backend server, at most once on the wire.
struct RunOnBackendServer {
  std::uint64_t run = 0;
  HttpRequest request;
  utils::Duration remaining{};
  bool idempotent = false;
  std::uint64_t max_response_bytes = 0;
  // Name of the workspace of the call; empty if it belongs to none.
  std::string workspace = {};
  bool operator==(const RunOnBackendServer&) const = default;
};

struct CancelOnBackendServer {
  std::uint64_t run = 0;
  bool operator==(const CancelOnBackendServer&) const = default;
};

// The drain is complete: no call, run or permit request is open on this node.
struct DrainFinished {
  bool operator==(const DrainFinished&) const = default;
};

// A request fingerprint was added to or removed from the quarantine.
struct QuarantineChanged {
  std::string service;
  std::uint64_t fingerprint = 0;
  bool quarantined = false;
  bool operator==(const QuarantineChanged&) const = default;
};

using Effect = std::variant<SendMessage, AnswerCaller, AnswerPermit, RunOnBackendServer,
                            CancelOnBackendServer, DrainFinished, QuarantineChanged>;

}  // namespace amaranthlatch::calls
