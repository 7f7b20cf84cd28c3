// Text forms of phases, states and reasons for log lines.

#include "amaranthlatch/rollout/effect.h"

namespace amaranthlatch::rollout {

std::string_view ToString(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kClaimed:
      return "claimed";
    case Reason::kTakenOver:
      return "taken-over";
    case Reason::kPhaseLearned:
      return "phase-learned";
    case Reason::kStopLearned:
      return "stop-learned";
    case Reason::kEnoughEvidence:
      return "enough-evidence";
    case Reason::kNoOldServer:
      return "no-old-server";
    case Reason::kEnoughCapacity:
      return "enough-capacity";
    case Reason::kTimeReached:
      return "time-reached";
    case Reason::kOldServersIdle:
      return "old-servers-idle";
    case Reason::kFailures:
      return "failures";
    case Reason::kLatency:
      return "latency";
    case Reason::kNotEnoughEvidence:
      return "not-enough-evidence";
    case Reason::kNoServer:
      return "no-server";
    case Reason::kOrderReplaced:
      return "order-replaced";
    case Reason::kVerdictLearned:
      return "verdict-learned";
    case Reason::kOrderInvalid:
      return "order-invalid";
  }
  return "unknown";
}

std::string_view ToString(Phase phase) {
  switch (phase) {
    case Phase::kNone:
      return "none";
    case Phase::kCanary:
      return "canary";
    case Phase::kRamp:
      return "ramp";
    case Phase::kPromote:
      return "promote";
    case Phase::kRetire:
      return "retire";
    case Phase::kStopped:
      return "stopped";
    case Phase::kComplete:
      return "complete";
    case Phase::kRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

std::string_view ToString(State state) {
  switch (state) {
    case State::kRunning:
      return "running";
    case State::kComplete:
      return "complete";
    case State::kRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

}  // namespace amaranthlatch::rollout
