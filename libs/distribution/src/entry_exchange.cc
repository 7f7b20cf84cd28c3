// Implementation of the entry exchange between peers.

#include "entry_exchange.h"

#include <algorithm>
#include <utility>

namespace amaranthlatch::distribution::details {

namespace {

constexpr utils::Duration kMinPushBackoff = utils::Seconds(1);
constexpr utils::Duration kMaxPushBackoff = utils::Seconds(60);

}  // namespace

EntryExchange::EntryExchange(const Options& options, Replica& replica, PeerLinks& links,
                             Topology& topology, SnapshotSender& snapshots, Counters& counters)
    : options(options),
      replica(replica),
      links(links),
      topology(topology),
      snapshots(snapshots),
      counters(counters) {}

bool EntryExchange::InSameZone(const Context& context, const membership::NodeId& id) const {
  const membership::Member* member = context.members.Find(id);
  return member != nullptr && member->zone == this->topology.Zone();
}

std::uint32_t EntryExchange::CountZoneHolders(const Context& context, const membership::NodeId& to,
                                              Offset offset) {
  if (!this->InSameZone(context, to)) {
    return 0;
  }
  return 1 + this->links.CountHolders(offset, to);
}

void EntryExchange::SendEntries(const Context& context, const membership::NodeId& to,
                                const EntriesRequest& request) {
  EntriesPush push;
  push.previous = request.held;
  push.entries =
      this->replica.Tail().After(request.held, this->options.push_bytes, request.full_records);
  push.token = request.token;
  if (push.entries.empty()) {
    return;
  }
  for (const Entry& entry : push.entries) {
    ++(entry.patch_base == 0 ? this->counters.full_entries_sent
                             : this->counters.patch_entries_sent);
  }
  push.holder_count = this->CountZoneHolders(context, to, push.entries.back().offset);
  PeerLink& link = this->links.Get(context, to);
  link.push_in_flight = true;
  link.pushed_after = request.held;
  link.push_deadline = context.now + this->options.push_timeout;
  const bool witnessed = push.holder_count >= this->witnesses_needed;
  link.unwitnessed_offset = witnessed ? 0 : push.entries.back().offset;
  ++this->counters.pushes_sent;
  context.Send(to, std::move(push));
}

void EntryExchange::SendEmptyPush(const Context& context, const membership::NodeId& to,
                                  std::uint32_t token) {
  EntriesPush push;
  push.previous = this->replica.HeldOffset();
  push.holder_count = this->CountZoneHolders(context, to, push.previous);
  push.token = token;
  context.Send(to, std::move(push));
}

void EntryExchange::ReportWitnessedOffsets(const Context& context) {
  for (const membership::NodeId& id : this->links.PeersAwaitingWitnesses()) {
    PeerLink& link = this->links.Get(context, id);
    EntriesPush report;
    report.previous = link.unwitnessed_offset;
    report.holder_count = this->CountZoneHolders(context, id, link.unwitnessed_offset);
    if (report.holder_count >= this->witnesses_needed) {
      link.unwitnessed_offset = 0;
      context.Send(id, std::move(report));
    }
  }
}

void EntryExchange::Push(const Context& context, const membership::NodeId& to, Offset after) {
  const PeerLink& link = this->links.Get(context, to);
  const bool blocked =
      link.push_in_flight || link.state_diverged || link.push_backoff_until > context.now;
  if (blocked || after >= this->replica.HeldOffset()) {
    return;
  }
  if (this->replica.Tail().Covers(after)) {
    this->SendEntries(context, to, EntriesRequest{.held = after});
  } else {
    // The digest tells the peer that this node is ahead; its request is answered with a snapshot.
    this->SendDigest(context, to);
  }
}

bool EntryExchange::ApplyEntries(const Context& context, const membership::NodeId& from,
                                 const EntriesPush& push) {
  const Offset before = this->replica.HeldOffset();
  const bool stopped_before = this->replica.StoppedAt().has_value();
  bool requested_full = false;
  for (const Entry& entry : push.entries) {
    const ApplyOutcome outcome = this->replica.ApplyEntry(entry);
    if (outcome == ApplyOutcome::kPatchMismatch) {
      context.Send(from, EntriesRequest{.held = this->replica.HeldOffset(), .full_records = true});
      requested_full = true;
      break;
    }
    if (outcome == ApplyOutcome::kGap || outcome == ApplyOutcome::kStopped) {
      break;
    }
  }
  if (!stopped_before && this->replica.StoppedAt()) {
    context.effects.emplace_back(FoldStopped{*this->replica.StoppedAt()});
  }
  if (!requested_full) {
    context.Send(from, EntriesAck{this->replica.HeldOffset()});
  }
  return this->replica.HeldOffset() > before;
}

bool EntryExchange::OnPush(const Context& context, const membership::NodeId& from,
                           const EntriesPush& push) {
  PeerLink& link = this->links.Get(context, from);
  if (link.state_diverged) {
    return false;
  }
  const Offset last = push.previous + push.entries.size();
  link.held = std::max(link.held, last);
  this->request_open_until = {};
  if (this->InSameZone(context, from) && push.holder_count >= this->witnesses_needed) {
    this->reported_witnessed_offset = std::max(this->reported_witnessed_offset, last);
  }
  if (push.entries.empty()) {
    return false;
  }
  ++this->counters.pushes_received;
  if (push.previous > this->replica.HeldOffset()) {
    ++this->counters.entry_gaps;
    context.Send(from, EntriesAck{this->replica.HeldOffset()});
    return false;
  }
  return this->ApplyEntries(context, from, push);
}

void EntryExchange::OnAck(const Context& context, const membership::NodeId& from,
                          const EntriesAck& ack) {
  PeerLink& link = this->links.Get(context, from);
  const bool expected = link.push_in_flight;
  link.held = ack.held;
  link.push_in_flight = false;
  if (expected && ack.held == link.pushed_after) {
    link.push_backoff = std::clamp(link.push_backoff * 2, kMinPushBackoff, kMaxPushBackoff);
    link.push_backoff_until = context.now + link.push_backoff;
    return;
  }
  if (ack.held > link.pushed_after) {
    link.push_backoff = {};
  }
  if (expected) {
    this->Push(context, from, ack.held);
  }
  this->ReportWitnessedOffsets(context);
}

void EntryExchange::OnRequest(const Context& context, const membership::NodeId& from,
                              const EntriesRequest& request) {
  PeerLink& link = this->links.Get(context, from);
  link.held = request.held;
  link.push_in_flight = false;
  if (link.state_diverged || request.held >= this->replica.HeldOffset()) {
    this->SendEmptyPush(context, from, request.token);
    return;
  }
  ++this->counters.entry_repairs;
  if (this->replica.Tail().Covers(request.held)) {
    this->SendEntries(context, from, request);
  } else {
    if (request.token != 0) {
      this->SendEmptyPush(context, from, request.token);
    }
    this->snapshots.OnRequest(context, from, SnapshotRequest{});
  }
}

void EntryExchange::OnDigest(const Context& context, const membership::NodeId& from,
                             const Digest& digest) {
  PeerLink& link = this->links.Get(context, from);
  link.held = digest.held;
  const std::optional<std::uint64_t> known = this->replica.Tail().HashAt(digest.held);
  if (known) {
    link.state_diverged = *known != digest.hash;
    if (link.state_diverged) {
      ++this->counters.state_hash_mismatches;
      return;
    }
  }
  if (digest.held < this->replica.HeldOffset()) {
    ++this->counters.entry_repairs;
    this->Push(context, from, digest.held);
  } else if (digest.held > this->replica.HeldOffset()) {
    this->RequestEntriesOnce(context, from);
  }
}

void EntryExchange::SendDigest(const Context& context, const membership::NodeId& to) {
  ++this->counters.digests_sent;
  context.Send(to, Digest{this->replica.HeldOffset(), this->replica.Held().Hash()});
}

void EntryExchange::RequestEntries(const Context& context, const membership::NodeId& peer,
                                   std::uint32_t token) {
  if (this->links.Get(context, peer).state_diverged) {
    return;
  }
  this->request_open_until = context.now + this->options.ask_interval;
  context.Send(peer, EntriesRequest{.held = this->replica.HeldOffset(), .token = token});
}

void EntryExchange::RequestEntriesOnce(const Context& context, const membership::NodeId& peer) {
  if (!this->replica.StoppedAt() && this->request_open_until <= context.now) {
    this->RequestEntries(context, peer);
  }
}

}  // namespace amaranthlatch::distribution::details
