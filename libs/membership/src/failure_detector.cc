// Probing and the judgement of its results.

#include "failure_detector.h"

#include <algorithm>

namespace amaranthlatch::membership::details {

namespace {

// Open probes and relays are bounded; beyond that a probe waits for its next turn.
constexpr std::size_t kMaxPending = 64;
constexpr std::size_t kMaxRelays = 256;
// Suspects that are probed again in one interval.
constexpr std::size_t kSuspectsPerTurn = 4;
// After a failed probe this many further members are probed at once, so that a mass failure is
// recognised before the first suspicion ends.
constexpr std::size_t kSamplesPerFailure = 4;
constexpr std::size_t kMaxSamplesPerWindow = 32;
// Members declared dead in one step.
constexpr std::size_t kDeathsPerStep = 16;

}  // namespace

void FailureDetector::Start(Context& context) {
  this->last_heard = context.now;
  this->next_probe = context.now + context.random.Jitter(context.options.probe_interval);
}

std::vector<Member> FailureDetector::Advance(Context& context, const ZoneDigests& digests) {
  this->probe_turn = context.now >= this->next_probe;
  if (this->probe_turn) {
    this->next_probe = context.now + context.options.probe_interval;
    this->ProbeNext(context, digests);
    this->ProbeSuspects(context, digests);
  }
  this->CheckPending(context, digests);
  this->PruneWindows(context);
  if (this->suspects.empty() && !this->holding) {
    return {};
  }
  this->UpdateHold(context);
  return this->TakeExpired(context);
}

std::optional<utils::Timestamp> FailureDetector::NextWake(const Options& options) const {
  std::optional<utils::Timestamp> wake = this->next_probe;
  for (const auto& [number, probing] : this->pending) {
    const utils::Duration wait =
        options.probe_timeout + (probing.indirect ? options.indirect_timeout : utils::Duration{});
    KeepEarlier(wake, probing.sent + wait);
  }
  if (!this->holding) {
    for (const auto& [id, suspicion] : this->suspects) {
      KeepEarlier(wake, suspicion.deadline);
    }
  }
  return wake;
}

void FailureDetector::Heard(Context& context, const NodeId& from) {
  this->last_heard = context.now;
  this->suspects.erase(from);
}

void FailureDetector::OnAck(Context& context, const ProbeAck& ack) {
  const auto relay = this->relays.find(ack.sequence);
  if (relay != this->relays.end()) {
    context.Send(relay->second.requester, ProbeAck{relay->second.sequence, {}});
    this->relays.erase(relay);
    return;
  }
  const auto probing = this->pending.find(ack.sequence);
  if (probing == this->pending.end()) {
    return;
  }
  this->suspects.erase(probing->second.target);
  context.unreachable.erase(probing->second.target);
  this->pending.erase(probing);
  ++context.counters.probes_answered;
}

void FailureDetector::OnIndirectProbe(Context& context, const NodeId& from,
                                      const IndirectProbe& request, const ZoneDigests& digests) {
  if (context.IsSelf(request.target)) {
    context.Send(from, ProbeAck{request.sequence, {}});
    return;
  }
  if (this->relays.size() >= kMaxRelays) {
    return;
  }
  const std::uint64_t relay = this->NextSequence();
  this->relays.emplace(relay, Relay{from, request.sequence, context.now});
  context.Send(request.target, Probe{relay, digests});
}

void FailureDetector::OnUnreachable(Context& context, const NodeId& id,
                                    const ZoneDigests& digests) {
  const bool open = std::any_of(this->pending.begin(), this->pending.end(),
                                [&id](const auto& entry) { return entry.second.target == id; });
  if (this->IsTarget(context, id) && !open && !this->suspects.contains(id)) {
    this->StartProbe(context, id, digests);
  }
}

void FailureDetector::OnChanged(Context& context, const Member& member, bool added) {
  if (member.zone != context.options.zone || context.IsSelf(member.id)) {
    return;
  }
  if (!IsListed(member)) {
    this->suspects.erase(member.id);
    if (member.state == MemberState::kDead) {
      this->deaths.push_back(context.now);
    }
    return;
  }
  if (added) {
    this->order.push_back(member.id);
    const std::size_t rest = this->order.size() - this->position;
    std::swap(this->order.back(), this->order[this->position + context.random.Uniform(rest)]);
  }
}

void FailureDetector::Reset(Context& context) {
  this->pending.clear();
  this->relays.clear();
  this->samples.clear();
  this->last_heard = context.now;
  // A recheck after the pause waits for an answered probe.
  this->next_probe = context.now;
  for (auto& [id, suspicion] : this->suspects) {
    suspicion = {context.now, context.now + context.options.suspect_timeout};
  }
}

bool FailureDetector::Isolated(const Context& context) const {
  return !this->suspects.empty() &&
         context.now - this->last_heard >= context.options.suspect_timeout;
}

bool FailureDetector::IsTarget(const Context& context, const NodeId& id) const {
  const Member* member = context.table.Find(id);
  return member != nullptr && IsListed(*member) && member->zone == context.options.zone &&
         !context.IsSelf(id);
}

void FailureDetector::ProbeNext(Context& context, const ZoneDigests& digests) {
  if (this->position >= this->order.size()) {
    this->order.clear();
    const MemberList list = context.table.OfZone(context.options.zone);
    for (const Member& member : *list) {
      if (!context.IsSelf(member.id)) {
        this->order.push_back(member.id);
      }
    }
    context.random.Shuffle(this->order);
    this->position = 0;
  }
  while (this->position < this->order.size()) {
    const NodeId& target = this->order[this->position++];
    if (this->IsTarget(context, target) && !this->suspects.contains(target)) {
      this->StartProbe(context, NodeId(target), digests);
      return;
    }
  }
}

void FailureDetector::ProbeSuspects(Context& context, const ZoneDigests& digests) {
  const std::size_t count = std::min(kSuspectsPerTurn, this->suspects.size());
  for (std::size_t i = 0; i < count; ++i) {
    auto next = this->suspects.upper_bound(this->suspect_cursor);
    if (next == this->suspects.end()) {
      next = this->suspects.begin();
    }
    this->suspect_cursor = next->first;
    this->StartProbe(context, this->suspect_cursor, digests);
  }
}

void FailureDetector::ProbeSamples(Context& context, const ZoneDigests& digests,
                                   std::size_t count) {
  const MemberList list = context.table.OfZone(context.options.zone);
  for (std::size_t i = 0; i < count && this->samples.size() < kMaxSamplesPerWindow; ++i) {
    const NodeId& target = (*list)[context.random.Uniform(list->size())].id;
    if (this->IsTarget(context, target) && !this->samples.contains(target)) {
      this->StartProbe(context, target, digests);
    }
  }
}

void FailureDetector::StartProbe(Context& context, const NodeId& target,
                                 const ZoneDigests& digests) {
  if (this->pending.size() >= kMaxPending) {
    return;
  }
  const std::uint64_t number = this->NextSequence();
  this->pending.emplace(number, Probing{target, context.now, false});
  this->samples[target] = context.now;
  ++context.counters.probes_sent;
  context.Send(target, Probe{number, digests});
}

void FailureDetector::AskOthers(Context& context, std::uint64_t sequence, const NodeId& target) {
  MemberList list = context.table.OfZone(context.options.zone);
  // A zone of two has no third member; members of the region help instead.
  if (list->size() <= 2) {
    list = context.table.OfRegion(context.options.region);
  }
  std::vector<NodeId> asked;
  // Twice the tries, because a choice may fall on the target, this node or a helper chosen before.
  for (std::uint32_t i = 0; i < 2 * context.options.indirect_probes; ++i) {
    const NodeId& helper = (*list)[context.random.Uniform(list->size())].id;
    if (helper == target || context.IsSelf(helper) || this->suspects.contains(helper) ||
        std::find(asked.begin(), asked.end(), helper) != asked.end()) {
      continue;
    }
    context.Send(helper, IndirectProbe{sequence, target});
    asked.push_back(helper);
    if (asked.size() >= context.options.indirect_probes) {
      return;
    }
  }
}

void FailureDetector::CheckPending(Context& context, const ZoneDigests& digests) {
  const Options& options = context.options;
  std::vector<NodeId> failed;
  for (auto entry = this->pending.begin(); entry != this->pending.end();) {
    Probing& probing = entry->second;
    const utils::Duration age = context.now - probing.sent;
    if (!probing.indirect && age >= options.probe_timeout) {
      probing.indirect = true;
      // In hold many members are probed again and again; the direct probes are enough for them.
      if (!this->holding) {
        this->AskOthers(context, entry->first, probing.target);
      }
    }
    if (age < options.probe_timeout + options.indirect_timeout) {
      ++entry;
      continue;
    }
    failed.push_back(probing.target);
    entry = this->pending.erase(entry);
  }
  for (const NodeId& target : failed) {
    this->Fail(context, target, digests);
  }
  std::erase_if(this->relays, [&](const auto& entry) {
    return context.now - entry.second.sent >= options.indirect_timeout;
  });
}

void FailureDetector::Fail(Context& context, const NodeId& target, const ZoneDigests& digests) {
  ++context.counters.probes_failed;
  context.MarkUnreachable(target);
  if (!this->IsTarget(context, target) || this->suspects.contains(target)) {
    return;
  }
  const utils::Timestamp deadline = context.now + context.options.suspect_timeout;
  this->suspects.emplace(target, Suspicion{context.now, deadline});
  this->ProbeSamples(context, digests, kSamplesPerFailure);
}

void FailureDetector::PruneWindows(Context& context) {
  const utils::Timestamp start = context.now - context.options.hold_window;
  while (!this->deaths.empty() && this->deaths.front() < start) {
    this->deaths.pop_front();
  }
  if (this->probe_turn) {
    std::erase_if(this->samples, [start](const auto& entry) { return entry.second < start; });
  }
}

bool FailureDetector::MassFailure(const Context& context) const {
  const std::size_t failed = this->suspects.size();
  const auto exceeds = [&context](std::size_t count, std::size_t total) {
    return count >= context.options.hold_min_failures &&
           count * 100 > total * context.options.hold_share_percent;
  };
  std::size_t sampled = failed;
  for (const auto& [id, time] : this->samples) {
    sampled += this->suspects.contains(id) ? 0 : 1;
  }
  const std::size_t lost = failed + this->deaths.size();
  const std::size_t zone = context.table.ZoneSize(context.options.zone) + this->deaths.size();
  return exceeds(failed, sampled) || exceeds(lost, zone);
}

void FailureDetector::UpdateHold(Context& context) {
  const bool isolated = this->Isolated(context);
  const bool mass = this->MassFailure(context);
  const bool expired =
      this->holding && !isolated && context.now - this->hold_since >= context.options.hold_limit;
  this->released = mass && (this->released || expired);
  const bool hold = isolated || (mass && !this->released);
  if (hold == this->holding) {
    return;
  }
  this->holding = hold;
  context.effects.emplace_back(HoldChanged{hold});
  if (hold) {
    this->hold_since = context.now;
    ++context.counters.holds;
    return;
  }
  // Members that failed for good are declared dead at once; others get a new chance to answer.
  const utils::Duration grace =
      this->released ? utils::Duration::zero() : context.options.suspect_timeout;
  for (auto& [id, suspicion] : this->suspects) {
    suspicion.deadline = context.now + grace;
  }
}

std::vector<Member> FailureDetector::TakeExpired(Context& context) {
  std::vector<Member> dead;
  if (this->holding) {
    return dead;
  }
  for (auto entry = this->suspects.begin();
       entry != this->suspects.end() && dead.size() < kDeathsPerStep;) {
    if (entry->second.deadline > context.now) {
      ++entry;
      continue;
    }
    const Member* member = context.table.Find(entry->first);
    entry = this->suspects.erase(entry);
    if (member != nullptr && IsListed(*member)) {
      dead.push_back(*member);
      dead.back().state = MemberState::kDead;
      ++context.counters.members_declared_dead;
    }
  }
  return dead;
}

}  // namespace amaranthlatch::membership::details
