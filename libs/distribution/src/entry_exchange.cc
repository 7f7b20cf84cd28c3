// Exchange of entries.

#include "entry_exchange.h"

#include <algorithm>
#include <utility>

namespace amaranthlatch::distribution::details {

namespace {

constexpr utils::Duration kMinStall = utils::Seconds(1);
constexpr utils::Duration kMaxStall = utils::Seconds(60);

}  // namespace

EntryExchange::EntryExchange(const Options& options, Replica& replica, PeerLinks& links,
                             Topology& topology, SnapshotSender& snapshots, Counters& counters)
    : options(options),
      replica(replica),
      links(links),
      topology(topology),
      snapshots(snapshots),
      counters(counters) {}

bool EntryExchange::SameZone(const Context& context, const membership::NodeId& id) const {
  const membership::Member* member = context.members.Find(id);
  return member != nullptr && member->zone == this->topology.Zone();
}

std::uint32_t EntryExchange::Holders(const Context& context, const membership::NodeId& to,
                                     Offset offset) {
  if (!this->SameZone(context, to)) {
    return 0;
  }
  return 1 + this->links.CountHolders(offset, to);
}

void EntryExchange::SendEntries(const Context& context, const membership::NodeId& to,
                                const EntriesRequest& request) {
  EntriesPush push;
  push.previous = request.held;
  push.entries = this->replica.Tail().After(request.held, this->options.push_bytes, request.whole);
  push.token = request.token;
  if (push.entries.empty()) {
    return;
  }
  for (const Entry& entry : push.entries) {
    ++(entry.patch_base == 0 ? this->counters.wholes_sent : this->counters.differences_sent);
  }
  push.holders = this->Holders(context, to, push.entries.back().offset);
  PeerLink& link = this->links.Get(context, to);
  link.in_flight = true;
  link.pushed_from = request.held;
  link.push_deadline = context.now + this->options.push_timeout;
  const bool witnessed = push.holders >= this->witnesses_needed;
  link.unwitnessed = witnessed ? 0 : push.entries.back().offset;
  ++this->counters.pushes_sent;
  context.Send(to, std::move(push));
}

void EntryExchange::SendEmpty(const Context& context, const membership::NodeId& to,
                              std::uint32_t token) {
  EntriesPush push;
  push.previous = this->replica.HeldOffset();
  push.holders = this->Holders(context, to, push.previous);
  push.token = token;
  context.Send(to, std::move(push));
}

void EntryExchange::ReportWitnesses(const Context& context) {
  for (const membership::NodeId& id : this->links.AwaitingWitnesses()) {
    PeerLink& link = this->links.Get(context, id);
    EntriesPush report;
    report.previous = link.unwitnessed;
    report.holders = this->Holders(context, id, link.unwitnessed);
    if (report.holders >= this->witnesses_needed) {
      link.unwitnessed = 0;
      context.Send(id, std::move(report));
    }
  }
}

void EntryExchange::Push(const Context& context, const membership::NodeId& to, Offset after) {
  const PeerLink& link = this->links.Get(context, to);
  const bool blocked = link.in_flight || link.distrusted || link.stalled_until > context.now;
  if (blocked || after >= this->replica.HeldOffset()) {
    return;
  }
  if (this->replica.Tail().Covers(after)) {
    this->SendEntries(context, to, EntriesRequest{.held = after});
  } else {
    // Shows the peer that this node is ahead; it asks and is offered a snapshot.
    this->SendDigest(context, to);
  }
}

bool EntryExchange::ApplyAll(const Context& context, const membership::NodeId& from,
                             const EntriesPush& push) {
  const Offset before = this->replica.HeldOffset();
  const bool stopped_before = this->replica.StoppedAt().has_value();
  bool asked_whole = false;
  for (const Entry& entry : push.entries) {
    const ApplyOutcome outcome = this->replica.ApplyEntry(entry);
    if (outcome == ApplyOutcome::kPatchMismatch) {
      context.Send(from, EntriesRequest{.held = this->replica.HeldOffset(), .whole = true});
      asked_whole = true;
      break;
    }
    if (outcome == ApplyOutcome::kGap || outcome == ApplyOutcome::kStopped) {
      break;
    }
  }
  if (!stopped_before && this->replica.StoppedAt()) {
    context.effects.emplace_back(FoldStopped{*this->replica.StoppedAt()});
  }
  if (!asked_whole) {
    context.Send(from, EntriesAck{this->replica.HeldOffset()});
  }
  return this->replica.HeldOffset() > before;
}

bool EntryExchange::OnPush(const Context& context, const membership::NodeId& from,
                           const EntriesPush& push) {
  PeerLink& link = this->links.Get(context, from);
  if (link.distrusted) {
    return false;
  }
  const Offset last = push.previous + push.entries.size();
  link.held = std::max(link.held, last);
  this->ask_open_until = {};
  if (this->SameZone(context, from) && push.holders >= this->witnesses_needed) {
    this->reported_witnessed = std::max(this->reported_witnessed, last);
  }
  if (push.entries.empty()) {
    return false;
  }
  ++this->counters.pushes_received;
  if (push.previous > this->replica.HeldOffset()) {
    ++this->counters.gaps;
    context.Send(from, EntriesAck{this->replica.HeldOffset()});
    return false;
  }
  return this->ApplyAll(context, from, push);
}

void EntryExchange::OnAck(const Context& context, const membership::NodeId& from,
                          const EntriesAck& ack) {
  PeerLink& link = this->links.Get(context, from);
  const bool expected = link.in_flight;
  link.held = ack.held;
  link.in_flight = false;
  if (expected && ack.held == link.pushed_from) {
    link.stall = std::clamp(link.stall * 2, kMinStall, kMaxStall);
    link.stalled_until = context.now + link.stall;
    return;
  }
  if (ack.held > link.pushed_from) {
    link.stall = {};
  }
  if (expected) {
    this->Push(context, from, ack.held);
  }
  this->ReportWitnesses(context);
}

void EntryExchange::OnRequest(const Context& context, const membership::NodeId& from,
                              const EntriesRequest& request) {
  PeerLink& link = this->links.Get(context, from);
  link.held = request.held;
  link.in_flight = false;
  if (link.distrusted || request.held >= this->replica.HeldOffset()) {
    this->SendEmpty(context, from, request.token);
    return;
  }
  ++this->counters.repairs;
  if (this->replica.Tail().Covers(request.held)) {
    this->SendEntries(context, from, request);
  } else {
    if (request.token != 0) {
      this->SendEmpty(context, from, request.token);
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
    link.distrusted = *known != digest.hash;
    if (link.distrusted) {
      ++this->counters.hash_mismatches;
      return;
    }
  }
  if (digest.held < this->replica.HeldOffset()) {
    ++this->counters.repairs;
    this->Push(context, from, digest.held);
  } else if (digest.held > this->replica.HeldOffset()) {
    this->AskOnce(context, from);
  }
}

void EntryExchange::SendDigest(const Context& context, const membership::NodeId& to) {
  ++this->counters.digests_sent;
  context.Send(to, Digest{this->replica.HeldOffset(), this->replica.Held().Hash()});
}

void EntryExchange::Ask(const Context& context, const membership::NodeId& peer,
                        std::uint32_t token) {
  if (this->links.Get(context, peer).distrusted) {
    return;
  }
  this->ask_open_until = context.now + this->options.ask_interval;
  context.Send(peer, EntriesRequest{.held = this->replica.HeldOffset(), .token = token});
}

void EntryExchange::AskOnce(const Context& context, const membership::NodeId& peer) {
  if (!this->replica.StoppedAt() && this->ask_open_until <= context.now) {
    this->Ask(context, peer);
  }
}

}  // namespace amaranthlatch::distribution::details
