// Links to peers.

#include "peer_links.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace amaranthlatch::distribution::details {

namespace {

// How long a peer that refused a message or did not acknowledge a push is passed over.
constexpr utils::Duration kUnreachableTime = utils::Seconds(3);

// No setting asks for more witnesses than this.
constexpr std::uint32_t kMaxCountedHolders = 8;

bool IsListed(const membership::Member* member) {
  return member != nullptr && member->state != membership::MemberState::kLeft &&
         member->state != membership::MemberState::kDead;
}

}  // namespace

PeerLink& PeerLinks::Get(const Context& context, const membership::NodeId& id) {
  PeerLink& link = this->links[id];
  const membership::Member* member = context.members.Find(id);
  if (member != nullptr && member->boot_id != link.boot_id) {
    link = PeerLink{};
    link.boot_id = member->boot_id;
  }
  return link;
}

void PeerLinks::ForgetHeld(const membership::NodeId& id) {
  const auto found = this->links.find(id);
  if (found != this->links.end()) {
    found->second.held = 0;
    found->second.in_flight = false;
    found->second.distrusted = false;
  }
}

void PeerLinks::ForgetAllHeld() {
  for (auto& [id, link] : this->links) {
    link.held = 0;
  }
}

void PeerLinks::MarkReachable(const Context& context, const membership::NodeId& id) {
  this->Get(context, id).unreachable_until = {};
}

void PeerLinks::MarkUnreachable(const Context& context, const membership::NodeId& id) {
  PeerLink& link = this->Get(context, id);
  link.unreachable_until = context.now + kUnreachableTime;
  link.in_flight = false;
}

void PeerLinks::NoteHeld(const Context& context, const membership::NodeId& id, Offset held) {
  PeerLink& link = this->Get(context, id);
  link.held = std::max(link.held, held);
}

bool PeerLinks::IsReachable(const membership::NodeId& id, utils::Timestamp now) const {
  const auto found = this->links.find(id);
  return found == this->links.end() || found->second.unreachable_until <= now;
}

std::uint32_t PeerLinks::CountHolders(const Context& context, Topology& topology, Offset offset,
                                      const membership::NodeId& except) {
  std::uint32_t count = 0;
  for (const membership::NodeId& peer : topology.ZonePeers()) {
    if (peer != except && this->links.contains(peer) && this->Get(context, peer).held >= offset) {
      ++count;
    }
  }
  return count;
}

Offset PeerLinks::HeldByAtLeast(const Context& context, Topology& topology, std::size_t count) {
  std::vector<Offset> offsets;
  for (const membership::NodeId& peer : topology.ZonePeers()) {
    if (this->links.contains(peer) && !this->Get(context, peer).distrusted) {
      offsets.push_back(this->Get(context, peer).held);
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
    if (link.in_flight && link.push_deadline <= now) {
      link.in_flight = false;
      link.unreachable_until = now + kUnreachableTime;
      ++expired;
    }
  }
  return expired;
}

std::optional<utils::Timestamp> PeerLinks::NextDeadline() const {
  std::optional<utils::Timestamp> next;
  for (const auto& [id, link] : this->links) {
    if (link.in_flight && (!next || link.push_deadline < *next)) {
      next = link.push_deadline;
    }
  }
  return next;
}

void PeerLinks::Prune(const Context& context) {
  std::erase_if(this->links, [&context](const auto& entry) {
    return !IsListed(context.members.Find(entry.first));
  });
}

}  // namespace amaranthlatch::distribution::details
