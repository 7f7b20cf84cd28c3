// The reducer of a node whose members and configuration come from a register: directory and calls
// joined to one.

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "amaranthlatch/calls/calls.h"
#include "amaranthlatch/directory/directory.h"
#include "amaranthlatch/node/effect.h"
#include "amaranthlatch/node/event.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::node {

struct RegisterNodeOptions {
  // Shared by all nodes of the mesh. Keys are derived from it.
  std::string secret;
  directory::Options directory;
  calls::Options calls;
  // Time after the start of a drain in which callers are still served: they learn of it by their
  // own checks of readiness.
  utils::Duration drain_grace_period = utils::Milliseconds(2600);
};

// Inputs; WakeUp, messages and the drain as in node::Event.
using RegisterEvent =
    std::variant<WakeUp, MessageReceived, MessageNotSent, PeerUnreachable, DrainRequested,
                 directory::StreamRead, directory::StreamReadFailed, directory::MemberWriteEnded,
                 directory::BackendServerReady, directory::BackendServerGone, calls::CallReceived,
                 calls::CallerGone, calls::BackendServerAnswered, calls::BackendServerFailed>;

// Callers have had their time to leave: no new connections are taken from now on.
struct CallerIntakeClosed {
  bool operator==(const CallerIntakeClosed&) const = default;
};

using RegisterEffect =
    std::variant<SendMessage, InvariantViolated, CallerIntakeClosed, directory::ReadStream,
                 directory::WriteMember, directory::ConfigurationInForce, directory::MemberChanged,
                 directory::RegisterReachable, calls::AnswerCaller, calls::RunOnBackendServer,
                 calls::CancelOnBackendServer, calls::DrainFinished, calls::QuarantineChanged>;

class RegisterNode {
 public:
  // Fails with kSettingsOutOfRange.
  static utils::Result<std::unique_ptr<RegisterNode>> Create(const RegisterNodeOptions& options);

  RegisterNode(const RegisterNode&) = delete;
  RegisterNode& operator=(const RegisterNode&) = delete;
  ~RegisterNode();

  std::vector<RegisterEffect> Reduce(const RegisterEvent& event, utils::Timestamp now);
  // Before the first event this is the start of the clock.
  std::optional<utils::Timestamp> NextWake() const;

  // Whether callers should come here: a configuration is in force and no drain has begun.
  bool Ready() const;
  directory::MeshConfiguration::Pointer Configuration() const;
  const membership::MemberView& Members() const;
  const directory::Counters& DirectoryCounters() const;
  const calls::Counters& CallCounters() const;
  calls::Gauges CallGauges() const;

 private:
  struct Parts;
  explicit RegisterNode(std::unique_ptr<Parts> parts);

  std::unique_ptr<Parts> parts;
};

}  // namespace amaranthlatch::node
