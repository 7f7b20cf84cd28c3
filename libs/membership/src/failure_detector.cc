// Sends probes, evaluates their results and decides when a hold starts and ends.

#include "failure_detector.h"

#include <algorithm>

namespace amaranthlatch::membership::details {

namespace {

// Limits of open and relayed probes; a probe above the limit is skipped until its next turn.
constexpr std::size_t kMaxPendingProbes = 64;
constexpr std::size_t kMaxRelayedProbes = 256;
constexpr std::size_t kMaxSuspectProbesPerInterval = 4;
// Members probed immediately after a failed probe, to detect a mass failure before the first
// suspicion expires.
constexpr std::size_t kExtraProbesPerFailure = 4;
constexpr std::size_t kMaxProbedMembersPerWindow = 32;
constexpr std::size_t kMaxDeathsPerStep = 16;

}  // namespace

void FailureDetector::Start(Context& context) {
  this->last_message_time = context.now;
  this->next_probe = context.now + context.random.Jitter(context.options.probe_interval);
}

std::vector<Member> FailureDetector::Advance(Context& context, const ZoneDigests& digests) {
  this->probe_due = context.now >= this->next_probe;
  if (this->probe_due) {
    this->next_probe = context.now + context.options.probe_interval;
    this->ProbeNext(context, digests);
    this->ProbeSuspects(context, digests);
  }
  this->CheckPendingProbes(context, digests);
  this->PruneWindows(context);
  if (this->suspects.empty() && !this->holding) {
    return {};
  }
  this->UpdateHold(context);
  return this->TakeExpiredSuspects(context);
}

std::optional<utils::Timestamp> FailureDetector::NextWake(const Options& options) const {
  std::optional<utils::Timestamp> wake = this->next_probe;
  for (const auto& [probe_sequence, probe] : this->pending_probes) {
    const utils::Duration wait =
        options.probe_timeout + (probe.indirect ? options.indirect_timeout : utils::Duration{});
    UpdateEarliest(wake, probe.sent_at + wait);
  }
  if (!this->holding) {
    for (const auto& [id, suspicion] : this->suspects) {
      UpdateEarliest(wake, suspicion.deadline);
    }
  }
  return wake;
}

void FailureDetector::OnMessageReceived(Context& context, const NodeId& from) {
  this->last_message_time = context.now;
  this->suspects.erase(from);
}

void FailureDetector::OnAck(Context& context, const ProbeAck& ack) {
  const auto relay = this->relayed_probes.find(ack.sequence);
  if (relay != this->relayed_probes.end()) {
    context.Send(relay->second.requester, ProbeAck{relay->second.sequence, {}});
    this->relayed_probes.erase(relay);
    return;
  }
  const auto probe = this->pending_probes.find(ack.sequence);
  if (probe == this->pending_probes.end()) {
    return;
  }
  this->suspects.erase(probe->second.target);
  context.unreachable.erase(probe->second.target);
  this->pending_probes.erase(probe);
  ++context.counters.probes_answered;
}

void FailureDetector::OnIndirectProbe(Context& context, const NodeId& from,
                                      const IndirectProbe& request, const ZoneDigests& digests) {
  if (context.IsSelf(request.target)) {
    context.Send(from, ProbeAck{request.sequence, {}});
    return;
  }
  if (this->relayed_probes.size() >= kMaxRelayedProbes) {
    return;
  }
  const std::uint64_t relay = this->NextSequence();
  this->relayed_probes.emplace(relay, RelayedProbe{from, request.sequence, context.now});
  context.Send(request.target, Probe{relay, digests});
}

void FailureDetector::OnUnreachable(Context& context, const NodeId& id,
                                    const ZoneDigests& digests) {
  const bool open = std::any_of(this->pending_probes.begin(), this->pending_probes.end(),
                                [&id](const auto& entry) { return entry.second.target == id; });
  if (this->IsProbeTarget(context, id) && !open && !this->suspects.contains(id)) {
    this->StartProbe(context, id, digests);
  }
}

void FailureDetector::OnMemberChanged(Context& context, const Member& member, bool added) {
  if (member.zone != context.options.zone || context.IsSelf(member.id)) {
    return;
  }
  if (!IsListed(member)) {
    this->suspects.erase(member.id);
    if (member.state == MemberState::kDead) {
      this->recent_deaths.push_back(context.now);
    }
    return;
  }
  if (added) {
    this->probe_order.push_back(member.id);
    const std::size_t rest = this->probe_order.size() - this->probe_position;
    std::swap(this->probe_order.back(),
              this->probe_order[this->probe_position + context.random.Uniform(rest)]);
  }
}

void FailureDetector::ResetAfterPause(Context& context) {
  this->pending_probes.clear();
  this->relayed_probes.clear();
  this->recent_probes.clear();
  this->last_message_time = context.now;
  // Probe immediately, because the check that follows a pause waits for a probe acknowledgement.
  this->next_probe = context.now;
  for (auto& [id, suspicion] : this->suspects) {
    suspicion = {context.now, context.now + context.options.suspect_timeout};
  }
}

bool FailureDetector::IsIsolated(const Context& context) const {
  return !this->suspects.empty() &&
         context.now - this->last_message_time >= context.options.suspect_timeout;
}

bool FailureDetector::IsProbeTarget(const Context& context, const NodeId& id) const {
  const Member* member = context.table.Find(id);
  return member != nullptr && IsListed(*member) && member->zone == context.options.zone &&
         !context.IsSelf(id);
}

void FailureDetector::ProbeNext(Context& context, const ZoneDigests& digests) {
  if (this->probe_position >= this->probe_order.size()) {
    this->probe_order.clear();
    const MemberList list = context.table.ZoneMembers(context.options.zone);
    for (const Member& member : *list) {
      if (!context.IsSelf(member.id)) {
        this->probe_order.push_back(member.id);
      }
    }
    context.random.Shuffle(this->probe_order);
    this->probe_position = 0;
  }
  while (this->probe_position < this->probe_order.size()) {
    const NodeId& target = this->probe_order[this->probe_position++];
    if (this->IsProbeTarget(context, target) && !this->suspects.contains(target)) {
      this->StartProbe(context, NodeId(target), digests);
      return;
    }
  }
}

void FailureDetector::ProbeSuspects(Context& context, const ZoneDigests& digests) {
  const std::size_t count = std::min(kMaxSuspectProbesPerInterval, this->suspects.size());
  for (std::size_t i = 0; i < count; ++i) {
    auto next = this->suspects.upper_bound(this->suspect_cursor);
    if (next == this->suspects.end()) {
      next = this->suspects.begin();
    }
    this->suspect_cursor = next->first;
    this->StartProbe(context, this->suspect_cursor, digests);
  }
}

void FailureDetector::ProbeRandomMembers(Context& context, const ZoneDigests& digests,
                                         std::size_t count) {
  const MemberList list = context.table.ZoneMembers(context.options.zone);
  for (std::size_t i = 0; i < count && this->recent_probes.size() < kMaxProbedMembersPerWindow;
       ++i) {
    const NodeId& target = (*list)[context.random.Uniform(list->size())].id;
    if (this->IsProbeTarget(context, target) && !this->recent_probes.contains(target)) {
      this->StartProbe(context, target, digests);
    }
  }
}

void FailureDetector::StartProbe(Context& context, const NodeId& target,
                                 const ZoneDigests& digests) {
  if (this->pending_probes.size() >= kMaxPendingProbes) {
    return;
  }
  const std::uint64_t probe_sequence = this->NextSequence();
  this->pending_probes.emplace(probe_sequence, PendingProbe{target, context.now, false});
  this->recent_probes[target] = context.now;
  ++context.counters.probes_sent;
  context.Send(target, Probe{probe_sequence, digests});
}

void FailureDetector::SendIndirectProbes(Context& context, std::uint64_t sequence,
                                         const NodeId& target) {
  MemberList list = context.table.ZoneMembers(context.options.zone);
  // A zone of two has no third member to relay the probe, so use members of the region.
  if (list->size() <= 2) {
    list = context.table.RegionMembers(context.options.region);
  }
  std::vector<NodeId> asked;
  // Twice as many attempts as relays, because a random choice may be the target, this node, a
  // suspect or a relay chosen before.
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

void FailureDetector::CheckPendingProbes(Context& context, const ZoneDigests& digests) {
  const Options& options = context.options;
  std::vector<NodeId> failed;
  for (auto entry = this->pending_probes.begin(); entry != this->pending_probes.end();) {
    PendingProbe& probe = entry->second;
    const utils::Duration age = context.now - probe.sent_at;
    if (!probe.indirect && age >= options.probe_timeout) {
      probe.indirect = true;
      // During a hold, many suspects are probed repeatedly, so direct probes are sufficient.
      if (!this->holding) {
        this->SendIndirectProbes(context, entry->first, probe.target);
      }
    }
    if (age < options.probe_timeout + options.indirect_timeout) {
      ++entry;
      continue;
    }
    failed.push_back(probe.target);
    entry = this->pending_probes.erase(entry);
  }
  for (const NodeId& target : failed) {
    this->OnProbeFailed(context, target, digests);
  }
  std::erase_if(this->relayed_probes, [&](const auto& entry) {
    return context.now - entry.second.sent_at >= options.indirect_timeout;
  });
}

void FailureDetector::OnProbeFailed(Context& context, const NodeId& target,
                                    const ZoneDigests& digests) {
  ++context.counters.probes_failed;
  context.MarkUnreachable(target);
  if (!this->IsProbeTarget(context, target) || this->suspects.contains(target)) {
    return;
  }
  const utils::Timestamp deadline = context.now + context.options.suspect_timeout;
  this->suspects.emplace(target, Suspicion{context.now, deadline});
  this->ProbeRandomMembers(context, digests, kExtraProbesPerFailure);
}

void FailureDetector::PruneWindows(Context& context) {
  const utils::Timestamp start = context.now - context.options.mass_failure_window;
  while (!this->recent_deaths.empty() && this->recent_deaths.front() < start) {
    this->recent_deaths.pop_front();
  }
  if (this->probe_due) {
    std::erase_if(this->recent_probes, [start](const auto& entry) { return entry.second < start; });
  }
}

bool FailureDetector::IsMassFailure(const Context& context) const {
  const std::size_t failed = this->suspects.size();
  const auto exceeds_threshold = [&context](std::size_t count, std::size_t total) {
    return count >= context.options.mass_failure_min_members &&
           count * 100 > total * context.options.mass_failure_percent;
  };
  std::size_t probed = failed;
  for (const auto& [id, time] : this->recent_probes) {
    probed += this->suspects.contains(id) ? 0 : 1;
  }
  const std::size_t suspect_or_dead = failed + this->recent_deaths.size();
  const std::size_t zone =
      context.table.ZoneSize(context.options.zone) + this->recent_deaths.size();
  return exceeds_threshold(failed, probed) || exceeds_threshold(suspect_or_dead, zone);
}

void FailureDetector::UpdateHold(Context& context) {
  const bool isolated = this->IsIsolated(context);
  const bool mass_failure = this->IsMassFailure(context);
  const bool expired =
      this->holding && !isolated && context.now - this->hold_since >= context.options.hold_limit;
  this->hold_limit_reached = mass_failure && (this->hold_limit_reached || expired);
  const bool hold = isolated || (mass_failure && !this->hold_limit_reached);
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
  // At the time limit of the hold, suspects are declared dead without delay. Otherwise they get the
  // full suspect timeout to respond.
  const utils::Duration grace =
      this->hold_limit_reached ? utils::Duration::zero() : context.options.suspect_timeout;
  for (auto& [id, suspicion] : this->suspects) {
    suspicion.deadline = context.now + grace;
  }
}

std::vector<Member> FailureDetector::TakeExpiredSuspects(Context& context) {
  std::vector<Member> dead;
  if (this->holding) {
    return dead;
  }
  for (auto entry = this->suspects.begin();
       entry != this->suspects.end() && dead.size() < kMaxDeathsPerStep;) {
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
