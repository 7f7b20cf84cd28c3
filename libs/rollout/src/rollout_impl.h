// State of the rollout reducer.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "amaranthlatch/rollout/rollout.h"
#include "amaranthlatch/utils/random.h"
#include "coordinator.h"
#include "coordinator_link.h"
#include "participant.h"
#include "status_access.h"

namespace amaranthlatch::rollout {

struct Rollout::Impl {
  explicit Impl(const Options& from)
      : options(from), random(from.seed), participant(options), link(options) {}

  // What the status record is read for.
  enum class Purpose : std::uint8_t { kNone, kClaim, kVerdict, kRefresh, kConfirm };

  void Handle(const WakeUp& /*event*/) {}
  void Handle(const OrdersChanged& event);
  void Handle(const BackendServerChanged& event);
  void Handle(const RunStarted& event) { this->participant.OnRunStarted(event, this->now); }
  void Handle(const RunEnded& event) { this->participant.OnRunEnded(event, this->now); }
  void Handle(const StatusRead& event);
  void Handle(const StatusReadFailed& event);
  void Handle(const StatusWritten& event);
  void Handle(const PeerMessage& event);
  void Handle(const PeerUnreachable& event);

  void HandleMessage(const membership::NodeId& from, const Report& report);
  void HandleMessage(const membership::NodeId& from, const Directive& directive);
  void HandleMessage(const membership::NodeId& from, const Redirect& redirect);

  // Takes part in the order for the service of the backend server, if there is a newer one.
  void UpdateOrder();
  void RejectInvalidOrder(const Order& order);
  // Starts to claim the order; `insists` if the coordinator was found silent.
  void RequestClaim(bool insists);
  details::Coordinator::Claim MakeClaim(const StatusRead& read) const;
  StatusRecord MakeClaimRecord(const details::Coordinator::Claim& claim) const;
  void BecomeCoordinator(details::Coordinator::Claim claim);
  // Another node has claimed the order.
  void LoseClaim();
  // The register holds the claim of a node that may still coordinate.
  void FollowClaimant(const membership::NodeId& id);
  void FinishWith(State state, const std::vector<std::string>& replaced_versions,
                  bool decided_here);
  // Logs the verdict and passes it on.
  void AnnounceVerdict(bool decided_here);
  void Write(const StatusRecord& record, std::uint64_t expected_end);

  // Notices that the process was paused until `next`, the time of the event to be handled.
  void TrackDelays(utils::Timestamp next);
  void PollReports();
  void PollStatus();
  // Delivers messages that this node has sent to itself.
  void DeliverOwnMessages();
  void UpdateAdmission();
  std::optional<utils::Timestamp> NextWake() const;

  Purpose StatusPurpose() const;
  bool IsForOwnOrder(const std::string& service, std::uint64_t order) const;
  // Whether the node that made the claim is known not to coordinate, or not to answer.
  bool IsLost(const StatusRecord& claim) const;
  // Whether the claim has not been refreshed for too long.
  bool IsStale(const StatusRecord& claim);
  utils::Duration CurrentReportInterval() const;
  utils::Timestamp ReportDue() const;
  void Send(const membership::NodeId& to, Message message);
  void SendRedirect(const membership::NodeId& to, const membership::NodeId& coordinator);

  const Options options;
  utils::Random random;
  // Of the event being handled.
  utils::Timestamp now{};
  const membership::MemberView* members = nullptr;
  std::vector<Effect> effects;

  std::vector<Order> orders;
  bool orders_known = false;
  std::optional<std::uint64_t> last_invalid_order;
  details::Participant participant;
  details::CoordinatorLink link;
  // Set while this node coordinates the order of its service.
  std::optional<details::Coordinator> coordinator;

  details::StatusAccess status;
  // The record being written, and the claim that it makes.
  std::optional<StatusRecord> pending_record;
  std::optional<details::Coordinator::Claim> pending_claim;
  // Until when this node tries to claim the order.
  utils::Timestamp claim_until{};
  bool claim_insisted = false;
  // Last reports received while this node claims the order.
  std::map<membership::NodeId, Report> waiting;

  utils::Timestamp next_report{};
  utils::Timestamp last_report{};
  AdmissionChanged admission;
  Counters counters;
};

}  // namespace amaranthlatch::rollout
