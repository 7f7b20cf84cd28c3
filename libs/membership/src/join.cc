// Join requests, replies to them, and probes of dead members.

#include "join.h"

#include <algorithm>
#include <set>

#include "repair.h"

namespace amaranthlatch::membership::details {

namespace {

constexpr std::size_t kMaxZoneMembersInReply = 32;
// Bounds the size of a join reply in meshes with very many zones.
constexpr std::size_t kMaxGatewaysInReply = 160;
// Minimum interval between replies to unlisted senders, so that a peer that ignores them costs
// little.
constexpr utils::Duration kUnlistedReplyInterval = utils::Milliseconds(50);
constexpr int kRejoinPickAttempts = 4;

}  // namespace

void Join::Start(Context& context) {
  this->next_wake = context.now + context.random.Jitter(context.options.join_jitter);
}

void Join::Advance(Context& context, FailureDetector& detector) {
  if (!this->next_wake || context.now < *this->next_wake) {
    return;
  }
  const auto& seeds = context.options.seeds;
  if (!this->joined) {
    this->next_wake = context.now + context.options.join_retry_interval;
    if (!seeds.empty()) {
      const NodeId& seed = seeds[context.random.Uniform(seeds.size())];
      if (!context.IsSelf(seed)) {
        context.Send(seed, JoinRequest{context.table.Self()});
      }
    }
    return;
  }
  this->next_wake = context.now + context.options.rejoin_interval;
  if (const NodeId* target = this->PickRejoinTarget(context)) {
    context.Send(*target, Probe{detector.NextSequence(), Repair::SummaryDigests(context)});
  }
}

const NodeId* Join::PickRejoinTarget(Context& context) const {
  const auto& seeds = context.options.seeds;
  const auto& tombstones = context.table.Tombstones();
  for (int i = 0; i < kRejoinPickAttempts; ++i) {
    const std::size_t choice = context.random.Uniform(seeds.size() + tombstones.size() + 1);
    const NodeId* id = nullptr;
    if (choice < seeds.size()) {
      id = &seeds[choice];
    } else if (choice - seeds.size() < tombstones.size()) {
      id = &tombstones[choice - seeds.size()].second;
    }
    if (id == nullptr || context.IsSelf(*id)) {
      continue;
    }
    const Member* member = context.table.Find(*id);
    if (member == nullptr || member->state == MemberState::kDead) {
      return id;
    }
  }
  return nullptr;
}

JoinReply Join::BuildReply(Context& context, Dissemination& dissemination, const Member& joining,
                           std::uint64_t known_incarnation) {
  JoinReply reply;
  reply.known_incarnation = known_incarnation;
  reply.page_count = 1;
  std::set<NodeId> chosen = {context.options.id};
  for (const auto& [zone, digest] : context.table.Digests()) {
    for (std::size_t rank = 0; rank < Gateways::kRanks && chosen.size() < kMaxGatewaysInReply;
         ++rank) {
      if (const NodeId* id = dissemination.GetGateways().Find(context, zone, rank)) {
        chosen.insert(*id);
      }
    }
  }
  const MemberList peers = context.table.ZoneMembers(joining.zone);
  const std::size_t start = peers->empty() ? 0 : context.random.Uniform(peers->size());
  for (std::size_t i = 0; i < std::min(kMaxZoneMembersInReply, peers->size()); ++i) {
    chosen.insert((*peers)[(start + i) % peers->size()].id);
  }
  chosen.erase(joining.id);
  for (const NodeId& id : chosen) {
    reply.members.push_back(*context.table.Find(id));
  }
  return reply;
}

void Join::OnUnlistedSender(Context& context, const NodeId& from) {
  if (context.now - this->last_unlisted_reply < kUnlistedReplyInterval) {
    return;
  }
  this->last_unlisted_reply = context.now;
  const Member* member = context.table.Find(from);
  if (member != nullptr) {
    // The sender refutes the record with a higher incarnation.
    context.Send(from, MemberUpdates{{*member}, 0});
  } else {
    context.Send(from, JoinRequest{context.table.Self()});
  }
}

}  // namespace amaranthlatch::membership::details
