// Effects returned by the node reducer. Effects of a single module use that module's types.

#pragma once

#include <string>
#include <variant>

#include "amaranthlatch/calls/effect.h"
#include "amaranthlatch/distribution/effect.h"
#include "amaranthlatch/membership/effect.h"
#include "amaranthlatch/node/message.h"

namespace amaranthlatch::node {

struct SendMessage {
  membership::NodeId to;
  Message message;
  bool operator==(const SendMessage&) const = default;
};

// A guarantee of docs/design.md section 1.3 is violated. The host logs the violation and stops.
struct InvariantViolated {
  std::string invariant;
  std::string detail;
  bool operator==(const InvariantViolated&) const = default;
};

using Effect =
    std::variant<SendMessage, InvariantViolated, membership::MemberChanged, membership::HoldChanged,
                 distribution::ReadLog, distribution::AppendLog, distribution::VerdictInForce,
                 distribution::ReadinessChanged, distribution::FoldStopped, calls::AnswerCaller,
                 calls::AnswerPermit, calls::RunOnBackendServer, calls::CancelOnBackendServer,
                 calls::DrainFinished, calls::QuarantineChanged>;

}  // namespace amaranthlatch::node
