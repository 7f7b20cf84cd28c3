// Claims and verdicts in the register.

#include <utility>

#include "rollout_impl.h"
#include "timing.h"
#include "versions.h"

namespace amaranthlatch::rollout {

namespace {

using details::Coordinator;
using details::StatusAccess;
using membership::NodeId;

// A claim is given up if nobody has asked for it for this long.
constexpr utils::Duration kClaimDemandTime = utils::Seconds(2);
// How often the claim of a silent coordinator is read again before it is stale.
constexpr utils::Duration kStaleCheckInterval = utils::Milliseconds(200);

}  // namespace

Rollout::Impl::Purpose Rollout::Impl::StatusPurpose() const {
  if (!this->participant.IsActive()) {
    return Purpose::kNone;
  }
  if (!this->coordinator) {
    return this->now < this->claim_until ? Purpose::kClaim : Purpose::kNone;
  }
  if (this->coordinator->Verdict()) {
    return Purpose::kVerdict;
  }
  if (this->coordinator->NeedsRefresh(this->now)) {
    return Purpose::kRefresh;
  }
  return this->coordinator->NeedsConfirmation(this->now) ? Purpose::kConfirm : Purpose::kNone;
}

void Rollout::Impl::PollStatus() {
  if (this->status.Poll(this->now)) {
    this->pending_record.reset();
    ++this->counters.status_reads_failed;
  }
  if (this->StatusPurpose() != Purpose::kNone && this->status.IsFree(this->now)) {
    this->status.OnReadStarted(this->now);
    this->effects.emplace_back(ReadStatus{this->participant.Server().service});
  }
}

void Rollout::Impl::RequestClaim(bool insists) {
  if (this->now >= this->claim_until) {
    this->claim_insisted = false;
  }
  this->claim_until = this->now + kClaimDemandTime;
  this->claim_insisted = this->claim_insisted || insists;
}

bool Rollout::Impl::IsLost(const StatusRecord& claim) const {
  const NodeId& id = claim.coordinator;
  if (id == this->options.id) {
    return true;
  }
  const bool is_alive = id == this->link.Target() &&
                        this->link.IsAlive(this->now, details::SilenceTime(this->options));
  return this->link.IsSilent(id, this->now) || (this->claim_insisted && !is_alive);
}

bool Rollout::Impl::IsStale(const StatusRecord& claim) {
  if (claim.coordinator == this->options.id) {
    return true;
  }
  this->participant.RaiseElapsed(claim.elapsed, this->now);
  return this->participant.Elapsed(this->now) - claim.elapsed >=
         details::StaleClaimAge(this->options);
}

void Rollout::Impl::Handle(const StatusRead& event) {
  const Purpose purpose = this->StatusPurpose();
  if (event.service != this->participant.Server().service) {
    this->status.OnReadFailed(this->now);
    return;
  }
  if (this->status.OnRead() != StatusAccess::Result::kDone || purpose == Purpose::kNone) {
    return;
  }
  const Order& order = *this->participant.CurrentOrder();
  const std::optional<StatusRecord>& record = event.record;
  const bool is_current = record && record->order == order.position;
  const bool is_own = is_current && record->coordinator == this->options.id &&
                      record->coordinator_boot_id == this->options.boot_id;
  if (record && record->order > order.position) {
    // This node has not received the newer order yet.
    this->claim_until = {};
    if (this->coordinator) {
      this->LoseClaim();
    }
  } else if (is_current && record->state != State::kRunning) {
    this->FinishWith(record->state, record->replaced_versions, is_own);
  } else if (this->coordinator && !is_own) {
    this->LoseClaim();
  } else if (this->coordinator) {
    this->coordinator->OnConfirmed(this->status.ReadStartedAt());
    if (purpose != Purpose::kConfirm) {
      this->Write(this->coordinator->MakeRecord(
                      this->coordinator->Verdict().value_or(State::kRunning), this->now),
                  event.end);
    }
  } else if (is_own && this->pending_claim) {
    // The write of the claim has succeeded although its result was unknown.
    this->pending_claim->term = this->status.LastWriteEnd() + 1;
    this->BecomeCoordinator(std::move(*this->pending_claim));
  } else if (is_current && !this->IsLost(*record)) {
    this->FollowClaimant(record->coordinator);
  } else if (is_current && !this->IsStale(*record)) {
    // The coordinator is alive, or was lost a moment ago.
    this->status.Postpone(this->now + kStaleCheckInterval);
  } else {
    this->pending_claim = this->MakeClaim(event);
    this->Write(this->MakeClaimRecord(*this->pending_claim), event.end);
  }
}

void Rollout::Impl::Handle(const StatusReadFailed& event) {
  if (event.service == this->participant.Server().service &&
      this->status.OnReadFailed(this->now) != StatusAccess::Result::kIgnored) {
    ++this->counters.status_reads_failed;
    if (!this->coordinator && this->link.Target() == this->options.id) {
      // Another node may reach the register.
      this->link.Avoid(this->options.id, details::RefusalAvoidance(this->options), this->now);
    }
    for (const auto& [id, report] : std::exchange(this->waiting, {})) {
      this->SendRedirect(id, {});
    }
  }
}

void Rollout::Impl::Handle(const StatusWritten& event) {
  const StatusAccess::Result result = this->status.OnWritten(event, this->now);
  const std::optional<StatusRecord> record = std::exchange(this->pending_record, std::nullopt);
  if (result != StatusAccess::Result::kDone || !record || !this->participant.IsActive() ||
      !this->IsForOwnOrder(record->service, record->order)) {
    return;
  }
  if (record->state != State::kRunning) {
    this->FinishWith(record->state, record->replaced_versions, true);
  } else if (this->coordinator) {
    this->coordinator->OnRefreshed(this->status.StartedAt());
  } else if (this->pending_claim) {
    this->pending_claim->term = this->status.LastWriteEnd() + 1;
    this->BecomeCoordinator(std::move(*this->pending_claim));
  }
}

void Rollout::Impl::Write(const StatusRecord& record, std::uint64_t expected_end) {
  this->status.OnWriteStarted(expected_end, this->now);
  this->pending_record = record;
  this->effects.emplace_back(WriteStatus{record, expected_end});
}

Coordinator::Claim Rollout::Impl::MakeClaim(const StatusRead& read) const {
  const Order& order = *this->participant.CurrentOrder();
  Coordinator::Claim claim;
  claim.order = order;
  claim.elapsed = this->participant.Elapsed(this->now);
  if (!read.record) {
    claim.replaced_versions = this->participant.ReplacedVersions();
    return claim;
  }
  const StatusRecord& record = *read.record;
  if (record.order == order.position) {
    claim.is_takeover = true;
    claim.elapsed = std::max(claim.elapsed, record.elapsed);
    claim.replaced_versions = record.replaced_versions;
    return claim;
  }
  const bool completed = record.state == State::kComplete;
  claim.replaced_versions =
      details::ReplacedAfter(record.replaced_versions, record.target_version, completed, order);
  claim.completed_target = completed ? record.target_version : std::string();
  return claim;
}

StatusRecord Rollout::Impl::MakeClaimRecord(const Coordinator::Claim& claim) const {
  return {claim.order.service,     claim.order.target_version,
          State::kRunning,         claim.order.position,
          claim.replaced_versions, this->options.id,
          this->options.boot_id,   claim.elapsed};
}

void Rollout::Impl::BecomeCoordinator(Coordinator::Claim claim) {
  ++this->counters.claims;
  const bool is_takeover = claim.is_takeover;
  const Order order = claim.order;
  const std::uint64_t term = claim.term;
  this->coordinator.emplace(this->options, std::move(claim), this->now);
  this->pending_claim.reset();
  this->claim_until = {};
  this->link.Follow(this->options.id, this->now);
  this->next_report = this->now;
  for (const auto& [id, report] : std::exchange(this->waiting, {})) {
    this->HandleMessage(id, report);
    if (!this->coordinator) {
      return;
    }
  }
  if (!is_takeover) {
    return;
  }
  for (const membership::Member& member : *this->members->ServiceMembers(order.service)) {
    if (details::IsServing(member) && member.id != this->options.id) {
      ++this->counters.redirects_sent;
      this->Send(member.id, Redirect{order.service, order.position, this->options.id, term,
                                     this->participant.IsStopped()});
    }
  }
}

void Rollout::Impl::LoseClaim() {
  ++this->counters.claims_lost;
  this->coordinator.reset();
  if (this->link.Target() == this->options.id) {
    // Its own claim is not to be followed any more; the node that took over announces itself.
    this->link.Avoid(this->options.id, details::CandidateTime(this->options), this->now);
  }
  this->next_report = this->now;
}

void Rollout::Impl::FollowClaimant(const NodeId& id) {
  this->claim_until = {};
  this->link.Follow(id, this->now);
  this->next_report = this->now;
  for (const auto& [peer, report] : std::exchange(this->waiting, {})) {
    this->SendRedirect(peer, id);
  }
}

void Rollout::Impl::FinishWith(State state, const std::vector<std::string>& replaced_versions,
                               bool decided_here) {
  this->participant.OnVerdict(state, replaced_versions);
  this->AnnounceVerdict(decided_here);
}

void Rollout::Impl::AnnounceVerdict(bool decided_here) {
  ++this->counters.verdicts;
  const Order& order = *this->participant.CurrentOrder();
  VerdictReached verdict;
  verdict.state = *this->participant.Verdict();
  verdict.decided_here = decided_here;
  if (this->coordinator) {
    verdict.figures = this->coordinator->MakeFigures(this->now);
    for (const NodeId& id : this->coordinator->FreshPeers(this->now)) {
      if (id != this->options.id) {
        this->Send(id, this->participant.MakeVerdict(this->coordinator->LastReport(id), this->now));
      }
    }
  } else {
    verdict.figures.service = order.service;
    verdict.figures.order = order.position;
    verdict.figures.target_version = order.target_version;
    verdict.figures.reason = Reason::kVerdictLearned;
    verdict.figures.elapsed = this->participant.Elapsed(this->now);
  }
  verdict.figures.phase = this->participant.CurrentPhase();
  verdict.figures.term = this->participant.Term();
  for (const auto& [id, report] : std::exchange(this->waiting, {})) {
    this->Send(id, this->participant.MakeVerdict(report, this->now));
  }
  this->effects.emplace_back(std::move(verdict));
  this->coordinator.reset();
  this->pending_claim.reset();
  this->claim_until = {};
}

}  // namespace amaranthlatch::rollout
