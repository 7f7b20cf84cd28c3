// State and helpers shared by the parts of the calls reducer.

#pragma once

#include <deque>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "amaranthlatch/calls/authorizer.h"
#include "amaranthlatch/calls/counters.h"
#include "amaranthlatch/calls/effect.h"
#include "amaranthlatch/calls/options.h"
#include "amaranthlatch/document/route_table.h"
#include "amaranthlatch/membership/member_view.h"
#include "amaranthlatch/utils/random.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls::details {

// State that persists across events.
struct SharedState {
  explicit SharedState(const Options& from) : options(from), random(options.seed) {}

  // Records a violated invariant; only the first one is kept, for Calls::FirstViolation().
  void Require(bool holds, const char* invariant) {
    if (!holds && this->first_violation.empty()) {
      this->first_violation = invariant;
    }
  }

  const Options options;
  utils::Random random;
  Counters counters;
  std::string first_violation;
};

// Inputs and outputs of the event being handled.
struct Context {
  utils::Timestamp now;
  const membership::MemberView& members;
  const document::RouteTable& routes;
  std::vector<Effect>& effects;
  // Messages from this node to itself, delivered before the event completes.
  std::deque<Message>& loopback;
  // Null if calls are not judged by workspaces.
  const Authorizer* authorizer = nullptr;

  // Share of the workspace in a queue, relative to an average one.
  double WeightOf(std::string_view workspace) const {
    return this->authorizer == nullptr ? 1.0 : this->authorizer->WeightOf(workspace);
  }

  void Send(membership::NodeId to, Message message) const {
    if (to == this->members.Self().id) {
      this->loopback.push_back(std::move(message));
      return;
    }
    this->effects.emplace_back(SendMessage{std::move(to), std::move(message)});
  }
};

inline Answer MakeFailure(ResultKind kind, utils::ErrorCode code, std::string message = {}) {
  Answer answer;
  answer.kind = kind;
  answer.code = code;
  answer.message = message.empty() ? std::string(utils::ToString(code)) : std::move(message);
  return answer;
}

inline Answer NotRunAnswer(utils::ErrorCode code) { return MakeFailure(ResultKind::kNotRun, code); }
inline Answer UnknownAnswer(utils::ErrorCode code) {
  return MakeFailure(ResultKind::kUnknown, code);
}

}  // namespace amaranthlatch::calls::details
