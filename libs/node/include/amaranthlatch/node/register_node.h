// Reducer of a node whose members and configuration come from a register, composed of the
// directory, calls, rollout and quota reducers.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "amaranthlatch/calls/calls.h"
#include "amaranthlatch/directory/directory.h"
#include "amaranthlatch/node/effect.h"
#include "amaranthlatch/node/event.h"
#include "amaranthlatch/quota/quota.h"
#include "amaranthlatch/rollout/rollout.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::node {

namespace details {
class RegisterModules;
}  // namespace details

struct RegisterNodeOptions {
  // Secret shared by all nodes of the mesh, from which keys are derived.
  std::string secret;
  directory::Options directory;
  calls::Options calls;
  // None where the deployment has no rollouts.
  std::optional<rollout::Options> rollout;
  // None where no quotas are enforced.
  std::optional<quota::Options> quota;
  // Time after the start of a drain during which callers are still served, because they detect the
  // drain only through their own readiness checks.
  utils::Duration drain_grace_period = utils::Milliseconds(2600);
  // Time after the start of a drain by which all callers get an answer, because the process ends.
  utils::Duration shutdown_time = utils::Milliseconds(5600);
};

// Calls by the first judgement of their keys. Only calls of configurations with workspaces count.
struct AuthorizationCounters {
  std::uint64_t on_public_route = 0;
  std::uint64_t known = 0;
  std::uint64_t unknown = 0;

  bool operator==(const AuthorizationCounters&) const = default;
};

// Events of the reducer. WakeUp, messages and the drain are those of node::Event.
using RegisterEvent =
    std::variant<WakeUp, MessageReceived, MessageNotSent, PeerUnreachable, DrainRequested,
                 directory::StreamReadSucceeded, directory::StreamReadFailed,
                 directory::MemberWriteCompleted, directory::BackendServerReady,
                 directory::BackendServerUnavailable, calls::CallReceived, calls::CallerGone,
                 calls::BackendServerAnswered, calls::BackendServerFailed, rollout::StatusRead,
                 rollout::StatusReadFailed, rollout::StatusWritten>;

// The drain grace period is over; the host accepts no new caller connections.
struct CallerIntakeClosed {
  bool operator==(const CallerIntakeClosed&) const = default;
};

using RegisterEffect =
    std::variant<SendMessage, InvariantViolated, CallerIntakeClosed, directory::ReadStream,
                 directory::WriteMember, directory::ConfigurationActivated,
                 directory::MemberChanged, directory::RegisterReachabilityChanged,
                 directory::ReadSourceChanged, directory::EarlierWithdrawalFound,
                 directory::StoredWithdrawalChanged, directory::RegisterEraRisen,
                 directory::OwnRecordLost, directory::ConfigurationOutdated,
                 directory::RolloutOrdersChanged, rollout::ReadStatus, rollout::WriteStatus,
                 rollout::StageChanged, rollout::VerdictReached, rollout::AdmissionChanged,
                 quota::LimitStateChanged, calls::AnswerCaller, calls::RunOnBackendServer,
                 calls::CancelOnBackendServer, calls::DrainFinished, calls::QuarantineChanged>;

class RegisterNode {
 public:
  // Fails with kSettingsOutOfRange.
  static utils::Result<std::unique_ptr<RegisterNode>> Create(const RegisterNodeOptions& options);

  RegisterNode(const RegisterNode&) = delete;
  RegisterNode& operator=(const RegisterNode&) = delete;
  ~RegisterNode();

  std::vector<RegisterEffect> Reduce(const RegisterEvent& event, utils::Timestamp now);
  // Before the first event this is the clock's epoch, so the host wakes the node immediately.
  std::optional<utils::Timestamp> NextWake() const;

  // Whether callers should use this node: a configuration is in force and no drain has started.
  bool Ready() const;
  directory::MeshConfiguration::Pointer Configuration() const;
  directory::ConfigurationStatus ConfigurationStatus() const;
  const membership::MemberView& Members() const;
  const directory::Counters& DirectoryCounters() const;
  directory::Gauges DirectoryGauges() const;
  const calls::Counters& CallCounters() const;
  calls::Gauges CallGauges() const;
  // Zeros where the deployment has no rollouts.
  rollout::Counters RolloutCounters() const;
  rollout::Gauges RolloutGauges() const;
  // Zeros where no quotas are enforced.
  quota::Counters QuotaCounters() const;
  quota::Gauges QuotaGauges() const;
  const node::AuthorizationCounters& AuthorizationCounters() const;

 private:
  explicit RegisterNode(std::unique_ptr<details::RegisterModules> modules);

  std::unique_ptr<details::RegisterModules> modules;
};

}  // namespace amaranthlatch::node
