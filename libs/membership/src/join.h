// Joins a starting node to the mesh and reconnects it after a network partition.

#pragma once

#include <cstdint>
#include <optional>

#include "context.h"
#include "dissemination.h"
#include "failure_detector.h"

namespace amaranthlatch::membership::details {

class Join {
 public:
  void Start(Context& context);

  // Sends join requests until a peer replies, then periodically probes dead members and unknown
  // seeds.
  void Advance(Context& context, FailureDetector& detector);
  std::optional<utils::Timestamp> NextWake() const { return this->next_wake; }

  // Initial records for a joining node: this node, the gateways of all zones and some members of
  // the joining node's zone. Digest comparison supplies the rest.
  static JoinReply BuildReply(Context& context, Dissemination& dissemination, const Member& joining,
                              std::uint64_t known_incarnation);
  void OnReply() { this->joined = true; }

  // Handles a message from a peer that is unknown, dead or left in the member table.
  void OnUnlistedSender(Context& context, const NodeId& from);

 private:
  const NodeId* PickRejoinTarget(Context& context) const;

  std::optional<utils::Timestamp> next_wake;
  utils::Timestamp last_unlisted_reply{};
  bool joined = false;
};

}  // namespace amaranthlatch::membership::details
