// How a node finds the mesh, and finds it again after a partition.

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

  // Sends join requests until a peer has answered; after that it probes dead members and seeds
  // that are not listed.
  void Advance(Context& context, FailureDetector& detector);
  std::optional<utils::Timestamp> NextWake() const { return this->next_wake; }

  // The first records for a joining node: this node's, the gateways and some zone members. The
  // rest follows by digests.
  static JoinReply BuildReply(Context& context, Dissemination& dissemination, const Member& joining,
                              std::uint64_t known_incarnation);
  void OnReply() { this->joined = true; }

  // A peer that this node does not know, or holds for dead or left, has sent a message.
  void OnUnlistedSender(Context& context, const NodeId& from);

 private:
  const NodeId* PickRejoinTarget(Context& context) const;

  std::optional<utils::Timestamp> next_wake;
  utils::Timestamp last_unlisted_reply{};
  bool joined = false;
};

}  // namespace amaranthlatch::membership::details
