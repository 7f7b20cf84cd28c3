// Successors of the own record.

#include "own_record.h"

#include <algorithm>
#include <compare>

namespace amaranthlatch::membership::details {

namespace {

// Draining and left are final for this process.
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

std::optional<Member> OwnRecord::Announce(const Member& current,
                                          const BackendServerAnnounced& announced) {
  this->backend_server = true;
  Member next = current;
  next.service = announced.service;
  next.labels = announced.labels;
  next.slots = announced.slots;
  if (next != current) {
    ++next.incarnation;
  }
  return this->WithState(std::move(next), current);
}

std::optional<Member> OwnRecord::LoseBackendServer(const Member& current) {
  this->backend_server = false;
  return this->WithState(current, current);
}

std::optional<Member> OwnRecord::SetReady(const Member& current, bool ready) {
  this->ready = ready;
  return this->WithState(current, current);
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
  const bool wins = other_process ? claim.incarnation >= current.incarnation
                                  : std::is_gt(ComparePrecedence(claim, current));
  if (!wins) {
    return std::nullopt;
  }
  if (!other_process && current.state == MemberState::kLeft) {
    return std::nullopt;
  }
  return RaiseAbove(current, claim.incarnation);
}

std::optional<Member> OwnRecord::RaiseAbove(const Member& current, std::uint64_t incarnation) {
  if (current.incarnation > incarnation) {
    return std::nullopt;
  }
  Member next = current;
  next.incarnation = incarnation + 1;
  return next;
}

std::optional<Member> OwnRecord::WithState(Member next, const Member& current) const {
  if (!IsLeaving(current)) {
    next.state = this->ready && this->backend_server ? MemberState::kReady : MemberState::kJoining;
  }
  // A step back in the order of states needs a higher incarnation to win.
  if (next.state < current.state && next.incarnation == current.incarnation) {
    ++next.incarnation;
  }
  return next == current ? std::nullopt : std::optional<Member>(std::move(next));
}

}  // namespace amaranthlatch::membership::details
