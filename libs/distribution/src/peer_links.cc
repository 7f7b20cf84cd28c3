// Implementation of the per-peer replication state.

#include "peer_links.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace amaranthlatch::distribution::details {

namespace {

// How long a peer is skipped after it was unreachable or did not acknowledge a push.
constexpr utils::Duration kUnreachableBackoff = utils::Seconds(3);

// Equals the upper limit of Options::witnesses.
constexpr std::uint32_t kMaxCountedHolders = 8;

bool IsActiveMember(const membership::Member* member) {
  return member != nullptr && member->state != membership::MemberState::kLeft &&
         member->state != membership::MemberState::kDead;
}

// Resets the link if the member has a new process.
void UpdateFromMember(const Context& context, const membership::Member& member, PeerLink& link) {
  if (member.boot_id != link.boot_id) {
    link = PeerLink{};
    link.boot_id = member.boot_id;
  }
  const membership::Member& self = context.members.Self();
  link.in_own_zone = member.zone == self.zone && member.id != self.id;
}

}  // namespace

PeerLink& PeerLinks::Get(const Context& context, const membership::NodeId& id) {
  const auto [found, added] = this->links.try_emplace(id);
  const membership::Member* member = added ? context.members.Find(id) : nullptr;
  if (member != nullptr) {
    UpdateFromMember(context, *member, found->second);
  }
  return found->second;
}

void PeerLinks::Refresh(const Context& context) {
  for (auto it = this->links.begin(); it != this->links.end();) {
    const membership::Member* member = context.members.Find(it->first);
    if (IsActiveMember(member)) {
      UpdateFromMember(context, *member, it->second);
      ++it;
    } else {
      it = this->links.erase(it);
    }
  }
}

void PeerLinks::ResetHeldOffset(const membership::NodeId& id) {
  const auto found = this->links.find(id);
  if (found != this->links.end()) {
    found->second.held = 0;
    found->second.push_in_flight = false;
    found->second.state_diverged = false;
  }
}

void PeerLinks::ResetAllHeldOffsets() {
  for (auto& [id, link] : this->links) {
    link.held = 0;
  }
}

void PeerLinks::MarkReachable(const Context& context, const membership::NodeId& id) {
  this->Get(context, id).unreachable_until = {};
}

void PeerLinks::MarkUnreachable(const Context& context, const membership::NodeId& id) {
  PeerLink& link = this->Get(context, id);
  link.unreachable_until = context.now + kUnreachableBackoff;
  link.push_in_flight = false;
}

void PeerLinks::UpdateHeldOffset(const Context& context, const membership::NodeId& id,
                                 Offset held) {
  PeerLink& link = this->Get(context, id);
  link.held = std::max(link.held, held);
}

bool PeerLinks::IsReachable(const membership::NodeId& id, utils::Timestamp now) const {
  const auto found = this->links.find(id);
  return found == this->links.end() || found->second.unreachable_until <= now;
}

std::uint32_t PeerLinks::CountHolders(Offset offset, const membership::NodeId& except) const {
  std::uint32_t count = 0;
  for (const auto& [id, link] : this->links) {
    const bool holds = link.in_own_zone && !link.state_diverged && link.held >= offset;
    if (holds && id != except && ++count >= kMaxCountedHolders) {
      break;
    }
  }
  return count;
}

std::vector<membership::NodeId> PeerLinks::PeersAwaitingWitnesses() const {
  std::vector<membership::NodeId> waiting;
  for (const auto& [id, link] : this->links) {
    const bool waits = link.in_own_zone && !link.state_diverged && link.unwitnessed_offset != 0;
    if (waits && link.held >= link.unwitnessed_offset) {
      waiting.push_back(id);
    }
  }
  return waiting;
}

Offset PeerLinks::OffsetHeldByAtLeast(std::size_t count) const {
  std::vector<Offset> offsets;
  for (const auto& [id, link] : this->links) {
    if (link.in_own_zone && !link.state_diverged) {
      offsets.push_back(link.held);
    }
  }
  if (count == 0 || offsets.size() < count) {
    return 0;
  }
  const auto nth = offsets.begin() + static_cast<std::ptrdiff_t>(count) - 1;
  std::nth_element(offsets.begin(), nth, offsets.end(), std::greater<>());
  return *nth;
}

std::size_t PeerLinks::ExpirePushes(utils::Timestamp now) {
  std::size_t expired = 0;
  for (auto& [id, link] : this->links) {
    if (link.push_in_flight && link.push_deadline <= now) {
      link.push_in_flight = false;
      link.unreachable_until = now + kUnreachableBackoff;
      ++expired;
    }
  }
  return expired;
}

std::optional<utils::Timestamp> PeerLinks::NextDeadline() const {
  std::optional<utils::Timestamp> next;
  for (const auto& [id, link] : this->links) {
    if (link.push_in_flight && (!next || link.push_deadline < *next)) {
      next = link.push_deadline;
    }
  }
  return next;
}

}  // namespace amaranthlatch::distribution::details
