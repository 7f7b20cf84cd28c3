// Join requests, their answers and probes of lost members.

#include "join.h"

#include <algorithm>
#include <set>

#include "repair.h"

namespace amaranthlatch::membership::details {

namespace {

// Zone members in the answer to a joining node.
constexpr std::size_t kMembersInAnswer = 32;
// Bounds the answer where there are very many zones.
constexpr std::size_t kGatewaysInAnswer = 160;
// Answers to strangers are paced, so that a peer that does not listen costs little.
constexpr utils::Duration kStrangerInterval = utils::Milliseconds(50);
// Tries to find a lost member by random choice.
constexpr int kLostTries = 4;

}  // namespace

void Join::Start(Context& context) {
  this->next = context.now + context.random.Jitter(context.options.join_jitter);
}

void Join::Advance(Context& context, FailureDetector& detector) {
  if (!this->next || context.now < *this->next) {
    return;
  }
  const auto& seeds = context.options.seeds;
  if (!this->joined) {
    this->next = context.now + context.options.join_retry;
    if (!seeds.empty()) {
      const NodeId& seed = seeds[context.random.Uniform(seeds.size())];
      if (!context.IsSelf(seed)) {
        context.Send(seed, JoinRequest{context.table.Self()});
      }
    }
    return;
  }
  this->next = context.now + context.options.rejoin_interval;
  if (const NodeId* lost = this->PickLost(context)) {
    context.Send(*lost, Probe{detector.NextSequence(), Repair::ShortDigests(context)});
  }
}

const NodeId* Join::PickLost(Context& context) const {
  const auto& seeds = context.options.seeds;
  const auto& unlisted = context.table.Unlisted();
  for (int i = 0; i < kLostTries; ++i) {
    const std::size_t choice = context.random.Uniform(seeds.size() + unlisted.size() + 1);
    const NodeId* id = nullptr;
    if (choice < seeds.size()) {
      id = &seeds[choice];
    } else if (choice - seeds.size() < unlisted.size()) {
      id = &unlisted[choice - seeds.size()].second;
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

JoinReply Join::Answer(Context& context, Dissemination& dissemination, const Member& joining,
                       std::uint64_t known_incarnation) {
  JoinReply reply;
  reply.known_incarnation = known_incarnation;
  reply.page_count = 1;
  std::set<NodeId> chosen = {context.options.id};
  for (const auto& [zone, digest] : context.table.Digests()) {
    for (std::size_t rank = 0; rank < Gateways::kRanks && chosen.size() < kGatewaysInAnswer;
         ++rank) {
      if (const NodeId* id = dissemination.Ranks().Find(context, zone, rank)) {
        chosen.insert(*id);
      }
    }
  }
  const MemberList peers = context.table.OfZone(joining.zone);
  const std::size_t start = peers->empty() ? 0 : context.random.Uniform(peers->size());
  for (std::size_t i = 0; i < std::min(kMembersInAnswer, peers->size()); ++i) {
    chosen.insert((*peers)[(start + i) % peers->size()].id);
  }
  chosen.erase(joining.id);
  for (const NodeId& id : chosen) {
    reply.members.push_back(*context.table.Find(id));
  }
  return reply;
}

void Join::OnStranger(Context& context, const NodeId& from) {
  if (context.now - this->last_stranger < kStrangerInterval) {
    return;
  }
  this->last_stranger = context.now;
  const Member* member = context.table.Find(from);
  if (member != nullptr) {
    // The owner refutes the record with a higher incarnation.
    context.Send(from, MemberUpdates{{*member}, 0});
  } else {
    context.Send(from, JoinRequest{context.table.Self()});
  }
}

}  // namespace amaranthlatch::membership::details
