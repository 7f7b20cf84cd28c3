// Computes new versions of this node's record.

#include "own_record.h"

#include <algorithm>
#include <compare>

namespace amaranthlatch::membership::details {

namespace {

// Draining and left are final: the process never returns to an earlier state.
bool IsLeaving(const Member& member) { return member.state >= MemberState::kDraining; }

}  // namespace

Member InitialRecord(const Options& options) {
  Member member;
  member.id = options.id;
  member.region = options.region;
  member.zone = options.zone;
  member.data_address = options.data_address;
  member.incarnation = std::max<std::uint64_t>(options.wall_time_ms, 1);
  member.boot_id = options.boot_id;
  return member;
}

std::optional<Member> OwnRecord::SetBackendServer(const Member& current,
                                                  const BackendServerAnnounced& announced) {
  this->has_backend_server = true;
  Member next = current;
  next.service = announced.service;
  next.labels = announced.labels;
  next.slots = announced.slots;
  if (next != current) {
    ++next.incarnation;
  }
  return this->WithDerivedState(std::move(next), current);
}

std::optional<Member> OwnRecord::ClearBackendServer(const Member& current) {
  this->has_backend_server = false;
  return this->WithDerivedState(current, current);
}

std::optional<Member> OwnRecord::SetReady(const Member& current, bool ready) {
  this->ready = ready;
  return this->WithDerivedState(current, current);
}

std::optional<Member> OwnRecord::StartDrain(const Member& current) const {
  if (IsLeaving(current)) {
    return std::nullopt;
  }
  Member next = current;
  next.state = MemberState::kDraining;
  return next;
}

std::optional<Member> OwnRecord::FinishDrain(const Member& current) const {
  if (current.state != MemberState::kDraining) {
    return std::nullopt;
  }
  Member next = current;
  next.state = MemberState::kLeft;
  return next;
}

std::optional<Member> OwnRecord::Refute(const Member& current, const Member& claim) {
  const bool other_process = claim.boot_id != current.boot_id;
  const bool takes_precedence = other_process ? claim.incarnation >= current.incarnation
                                              : std::is_gt(ComparePrecedence(claim, current));
  if (!takes_precedence) {
    return std::nullopt;
  }
  if (!other_process && current.state == MemberState::kLeft) {
    return std::nullopt;
  }
  return RaiseIncarnationAbove(current, claim.incarnation);
}

std::optional<Member> OwnRecord::RaiseIncarnationAbove(const Member& current,
                                                       std::uint64_t incarnation) {
  if (current.incarnation > incarnation) {
    return std::nullopt;
  }
  Member next = current;
  next.incarnation = incarnation + 1;
  return next;
}

std::optional<Member> OwnRecord::WithDerivedState(Member next, const Member& current) const {
  if (!IsLeaving(current)) {
    next.state =
        this->ready && this->has_backend_server ? MemberState::kReady : MemberState::kJoining;
  }
  // A return to an earlier state takes precedence only with a higher incarnation.
  if (next.state < current.state && next.incarnation == current.incarnation) {
    ++next.incarnation;
  }
  return next == current ? std::nullopt : std::optional<Member>(std::move(next));
}

}  // namespace amaranthlatch::membership::details
