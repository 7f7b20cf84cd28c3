// Admits calls: judges their keys, and holds calls of workspaces back until their quota allows
// them.

#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "amaranthlatch/calls/effect.h"
#include "amaranthlatch/calls/event.h"
#include "amaranthlatch/directory/mesh_configuration.h"
#include "amaranthlatch/membership/member_view.h"
#include "amaranthlatch/node/effect.h"
#include "amaranthlatch/node/register_node.h"
#include "amaranthlatch/quota/quota.h"
#include "credit_waiters.h"

namespace amaranthlatch::node::details {

class CallAdmission {
 public:
  // What a call is judged by.
  struct Context {
    // Null while there is none.
    directory::MeshConfiguration::Pointer configuration;
    const membership::MemberView& members;
    utils::Timestamp now{};
  };

  // Events go to the calls reducer. Everything is handled in order.
  using Output =
      std::variant<calls::Event, calls::AnswerCaller, SendMessage, quota::LimitStateChanged>;
  using Outputs = std::vector<Output>;

  // Without a quota, calls are only judged.
  explicit CallAdmission(std::optional<quota::Quota> quota) : quota(std::move(quota)) {}

  Outputs OnWakeUp(const Context& context);
  // Refuses the calls whose deadline has passed while they waited for credit.
  Outputs RefuseExpired(const Context& context);
  // Refuses all calls that wait for credit. From now on calls are passed on without credit: the
  // calls reducer refuses them, and reports the end of the drain without those that wait here.
  Outputs CloseIntake(const Context& context);
  Outputs OnCallReceived(const calls::CallReceived& event, const Context& context);
  Outputs OnCallerGone(const calls::CallerGone& event, const Context& context);
  Outputs OnMessage(const membership::NodeId& from, const quota::Message& message,
                    const Context& context);
  Outputs OnPeerUnreachable(const membership::NodeId& id, const Context& context);
  void OnMembersRead(const std::vector<membership::Member>& members,
                     const membership::MemberView& view);
  // The record of this node is stored in the register.
  Outputs OnMemberWritten(const Context& context);
  void OnConfigurationActivated() { this->limits_changed = true; }
  // A call was answered, here or by the calls reducer.
  void OnAnswered(const calls::AnswerCaller& effect);

  // Tells the quota reducer the limits of the configuration in force.
  Outputs UpdateLimits(const Context& context);
  bool HasUnusedCredit() const { return !this->unused_credit.empty(); }
  // Returns the credit of calls that have ended without having run.
  Outputs ReturnCredit(const Context& context);

  std::optional<utils::Timestamp> NextWake() const;
  const AuthorizationCounters& Authorizations() const { return this->authorizations; }
  // Null where no quotas are enforced.
  const quota::Quota* GetQuota() const { return this->quota ? &*this->quota : nullptr; }

 private:
  // Passes on a call that is authorised, as soon as there is credit for it.
  void Accept(calls::CallReceived call, const Context& context, Outputs& outputs);
  // Refuses a call that waits for credit; returns false if it does not wait.
  bool RefuseWaiting(std::uint64_t call, utils::ErrorCode code, const Context& context,
                     Outputs& outputs);
  void Reduce(const quota::Event& event, const Context& context, Outputs& outputs);
  Outputs Reduce(const quota::Event& event, const Context& context);
  void HandleEffect(const quota::AdmitCall& effect, const Context& context, Outputs& outputs);
  void HandleEffect(const quota::RefuseCall& effect, const Context& context, Outputs& outputs);
  void HandleEffect(quota::SendMessage effect, const Context& context, Outputs& outputs);
  void HandleEffect(quota::LimitStateChanged effect, const Context& context, Outputs& outputs);
  void Count(calls::AuthorizationResult result);

  std::optional<quota::Quota> quota;
  CreditWaiters waiting_calls;
  bool intake_closed = false;
  // Open calls that were admitted with credit.
  std::unordered_map<std::uint64_t, quota::CallNotRun> admitted_calls;
  // Credit of calls that ended as not run; returned at the end of the event.
  std::vector<quota::CallNotRun> unused_credit;
  bool limits_changed = false;
  directory::WorkspaceTable::Pointer limited_workspaces;
  // The register held a record of an earlier process of this node.
  bool was_listed = false;
  bool is_listed = false;
  AuthorizationCounters authorizations;
};

}  // namespace amaranthlatch::node::details
