// Digest comparison and paged transfer of zone records.

#include "repair.h"

#include <algorithm>

namespace amaranthlatch::membership::details {

namespace {

// Key of the sum of all zones in a digest map.
const std::string& AllZonesKey() {
  static const std::string name;
  return name;
}

// A digest mismatch may be caused by updates in flight for this long; a mismatch that persists
// longer triggers a zone transfer.
constexpr utils::Duration kMismatchTolerance = utils::Milliseconds(1500);
// A mismatch first observed longer ago than this is treated as a new one.
constexpr utils::Duration kMismatchExpiry = utils::Seconds(10);
constexpr std::size_t kMaxRechecks = 8;
constexpr utils::Duration kRequestTimeout = utils::Seconds(3);
constexpr utils::Duration kPageInterval = utils::Milliseconds(10);
constexpr std::size_t kPagesPerInterval = 4;
constexpr std::size_t kMaxTrackedZones = 1024;

std::uint32_t PageCount(const MemberList& list, std::uint32_t records_per_page) {
  const std::size_t pages = (list->size() + records_per_page - 1) / records_per_page;
  return static_cast<std::uint32_t>(std::max<std::size_t>(pages, 1));
}

std::uint64_t DigestOf(const Context& context, const std::string& zone) {
  const auto found = context.table.Digests().find(zone);
  return found == context.table.Digests().end() ? 0 : found->second;
}

}  // namespace

ZoneDigests Repair::SummaryDigests(const Context& context) {
  const std::string& zone = context.options.zone;
  return {{AllZonesKey(), context.table.TotalDigest()}, {zone, DigestOf(context, zone)}};
}

void Repair::OnProbe(Context& context, Dissemination& dissemination, const NodeId& from,
                     const Probe& probe) {
  const auto total = probe.digests.find(AllZonesKey());
  const bool differs = total != probe.digests.end() && total->second != context.table.TotalDigest();
  ZoneDigests answer = SummaryDigests(context);
  if (differs) {
    answer.insert(context.table.Digests().begin(), context.table.Digests().end());
  }
  context.Send(from, ProbeAck{probe.sequence, std::move(answer)});
  this->CompareDigests(context, dissemination, from, probe.digests);
}

void Repair::OnAck(Context& context, Dissemination& dissemination, const NodeId& from,
                   const ProbeAck& ack) {
  if (from == this->other_zone_target) {
    this->other_zone_target.clear();
  }
  this->CompareDigests(context, dissemination, from, ack.digests);
}

void Repair::CompareDigests(Context& context, Dissemination& dissemination, const NodeId& from,
                            const ZoneDigests& peer_digests) {
  const auto total = peer_digests.find(AllZonesKey());
  if (total == peer_digests.end()) {
    return;
  }
  if (total->second == context.table.TotalDigest()) {
    return;
  }
  for (const auto& [zone, digest] : peer_digests) {
    if (zone == AllZonesKey()) {
      continue;
    }
    if (digest == DigestOf(context, zone)) {
      this->mismatch_since.erase(zone);
    } else {
      this->OnDigestMismatch(context, dissemination, from, zone);
    }
  }
}

void Repair::OnDigestMismatch(Context& context, Dissemination& dissemination, const NodeId& from,
                              const std::string& zone) {
  const std::size_t known = context.table.ZoneSize(zone);
  if (known == 0) {
    // No record of this zone is known. Asking a random peer of this node's zone rather than the
    // sender distributes the load of joining nodes.
    const MemberList peers = context.table.ZoneMembers(context.options.zone);
    const NodeId& peer = (*peers)[context.random.Uniform(peers->size())].id;
    this->RequestZone(context, zone, context.IsSelf(peer) ? from : peer);
    return;
  }
  MemberUpdates recent{dissemination.RecentChanges(context, zone), 0};
  if (!recent.members.empty()) {
    context.Send(from, std::move(recent));
  }
  if (this->mismatch_since.size() > kMaxTrackedZones) {
    this->mismatch_since.clear();
  }
  const auto [entry, first] = this->mismatch_since.try_emplace(zone, context.now);
  const utils::Duration age = context.now - entry->second;
  if (first || age > kMismatchExpiry) {
    entry->second = context.now;
    // Probes within the zone soon repeat the comparison, but the next probe to another zone may be
    // far off, so schedule one.
    const Member* peer = context.table.Find(from);
    if ((peer == nullptr || peer->zone != context.options.zone) &&
        this->recheck_times.size() < kMaxRechecks) {
      this->recheck_times.try_emplace(from, context.now + kMismatchTolerance);
    }
  } else if (age >= kMismatchTolerance) {
    this->RequestZone(context, zone, from);
  }
}

void Repair::RequestZone(Context& context, const std::string& zone, const NodeId& peer) {
  if (this->queued_requests.size() < kMaxTrackedZones && !this->open_requests.contains(zone)) {
    this->queued_requests.insert_or_assign(zone, peer);
    this->SendQueuedRequests(context);
  }
}

void Repair::SendQueuedRequests(Context& context) {
  while (!this->queued_requests.empty() &&
         this->open_requests.size() < context.options.max_incoming_transfers) {
    const auto next = this->queued_requests.begin();
    context.Send(next->second, ZoneRecordsRequest{next->first});
    ++context.counters.zone_transfers_requested;
    this->open_requests[next->first] = Request{next->second, context.now + kRequestTimeout};
    this->queued_requests.erase(next);
  }
}

void Repair::OnZoneRecordsRequest(Context& context, const NodeId& from,
                                  const ZoneRecordsRequest& request) {
  const bool in_progress =
      std::any_of(this->transfers.begin(), this->transfers.end(), [&](const Transfer& transfer) {
        return transfer.to == from && transfer.zone == request.zone;
      });
  if (in_progress || this->transfers.size() >= context.options.max_outgoing_transfers) {
    ++context.counters.zone_transfers_refused;
    return;
  }
  this->transfers.push_back({from, request.zone, context.table.ZoneMembers(request.zone), 0});
  ++context.counters.zone_transfers_sent;
  if (!this->pages_due) {
    this->SendPages(context);
  }
}

void Repair::SendPages(Context& context) {
  const std::uint32_t size = context.options.records_per_page;
  for (std::size_t i = 0; i < kPagesPerInterval && !this->transfers.empty(); ++i) {
    Transfer transfer = std::move(this->transfers.front());
    this->transfers.pop_front();
    const std::uint32_t count = PageCount(transfer.list, size);
    const std::size_t begin = std::size_t{transfer.next_page} * size;
    const std::size_t end = std::min(begin + size, transfer.list->size());
    ZoneRecords page{transfer.zone, {}, transfer.next_page, count};
    page.members.assign(transfer.list->begin() + static_cast<std::ptrdiff_t>(begin),
                        transfer.list->begin() + static_cast<std::ptrdiff_t>(end));
    context.Send(transfer.to, std::move(page));
    if (++transfer.next_page < count) {
      this->transfers.push_back(std::move(transfer));
    }
  }
  this->pages_due.reset();
  if (!this->transfers.empty()) {
    this->pages_due = context.now + kPageInterval;
  }
}

void Repair::OnZoneRecords(Context& context, const ZoneRecords& page) {
  const auto request = this->open_requests.find(page.zone);
  if (request == this->open_requests.end()) {
    return;
  }
  request->second.deadline = context.now + kRequestTimeout;
  if (page.page + 1 >= page.page_count) {
    this->open_requests.erase(request);
    this->mismatch_since.erase(page.zone);
    this->SendQueuedRequests(context);
  }
}

void Repair::ProbeOtherZone(Context& context, Dissemination& dissemination,
                            FailureDetector& detector) {
  if (!this->other_zone_target.empty() && this->other_zone_probe_time < context.now) {
    context.MarkUnreachable(this->other_zone_target);
    this->other_zone_target.clear();
  }
  if (!dissemination.GetGateways().OwnRank(context)) {
    return;
  }
  const ZoneDigests& zones = context.table.Digests();
  auto next = zones.upper_bound(this->last_probed_zone);
  if (next == zones.end()) {
    next = zones.begin();
  }
  if (next != zones.end() && next->first == context.options.zone) {
    ++next;
    next = next == zones.end() ? zones.begin() : next;
  }
  if (next == zones.end() || next->first == context.options.zone) {
    return;
  }
  this->last_probed_zone = next->first;
  const std::size_t rank = context.random.Uniform(Gateways::kRanks);
  const NodeId* target = dissemination.GetGateways().Find(context, next->first, rank);
  // If no gateway candidate is reachable, probe any member of the zone.
  const MemberList list = context.table.ZoneMembers(next->first);
  const NodeId& chosen =
      target != nullptr ? *target : (*list)[context.random.Uniform(list->size())].id;
  this->other_zone_target = chosen;
  this->other_zone_probe_time = context.now;
  ++context.counters.probes_sent;
  context.Send(chosen, Probe{detector.NextSequence(), SummaryDigests(context)});
}

void Repair::Advance(Context& context, FailureDetector& detector) {
  std::erase_if(this->recheck_times, [&](const auto& entry) {
    const bool due = entry.second <= context.now;
    if (due) {
      context.Send(entry.first, Probe{detector.NextSequence(), SummaryDigests(context)});
    }
    return due;
  });
  if (this->pages_due && *this->pages_due <= context.now) {
    this->SendPages(context);
  }
  const std::size_t open_before = this->open_requests.size();
  std::erase_if(this->open_requests,
                [&context](const auto& entry) { return entry.second.deadline <= context.now; });
  if (this->open_requests.size() < open_before) {
    this->SendQueuedRequests(context);
  }
}

std::optional<utils::Timestamp> Repair::NextWake() const {
  std::optional<utils::Timestamp> wake = this->pages_due;
  for (const auto& [zone, request] : this->open_requests) {
    UpdateEarliest(wake, request.deadline);
  }
  for (const auto& [peer, due] : this->recheck_times) {
    UpdateEarliest(wake, due);
  }
  return wake;
}

}  // namespace amaranthlatch::membership::details
