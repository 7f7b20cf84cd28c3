// Digest comparison and paged exchange of records.

#include "repair.h"

#include <algorithm>

namespace amaranthlatch::membership::details {

namespace {

// Name under which the sum over all zones stands in a map of digests.
const std::string& AllZones() {
  static const std::string name;
  return name;
}

// Updates on their way explain a difference for this long; after that all records are compared.
constexpr utils::Duration kDifferenceAge = utils::Milliseconds(1500);
// A difference seen longer ago than this was probably another one.
constexpr utils::Duration kDifferenceValid = utils::Seconds(10);
constexpr std::size_t kMaxRechecks = 8;
constexpr utils::Duration kRequestTimeout = utils::Seconds(3);
constexpr utils::Duration kPageInterval = utils::Milliseconds(10);
constexpr std::size_t kPagesPerInterval = 4;
constexpr std::size_t kMaxWanted = 1024;

std::uint32_t PageCount(const MemberList& list, std::uint32_t page_records) {
  const std::size_t pages = (list->size() + page_records - 1) / page_records;
  return static_cast<std::uint32_t>(std::max<std::size_t>(pages, 1));
}

std::uint64_t DigestOf(const Context& context, const std::string& zone) {
  const auto found = context.table.Digests().find(zone);
  return found == context.table.Digests().end() ? 0 : found->second;
}

}  // namespace

ZoneDigests Repair::ShortDigests(const Context& context) {
  const std::string& zone = context.options.zone;
  return {{AllZones(), context.table.TotalDigest()}, {zone, DigestOf(context, zone)}};
}

void Repair::OnProbe(Context& context, Dissemination& dissemination, const NodeId& from,
                     const Probe& probe) {
  const auto total = probe.digests.find(AllZones());
  const bool differs = total != probe.digests.end() && total->second != context.table.TotalDigest();
  ZoneDigests answer = ShortDigests(context);
  if (differs) {
    answer.insert(context.table.Digests().begin(), context.table.Digests().end());
  }
  context.Send(from, ProbeAck{probe.sequence, std::move(answer)});
  this->Compare(context, dissemination, from, probe.digests);
}

void Repair::OnAck(Context& context, Dissemination& dissemination, const NodeId& from,
                   const ProbeAck& ack) {
  if (from == this->foreign_target) {
    this->foreign_target.clear();
  }
  this->Compare(context, dissemination, from, ack.digests);
}

void Repair::Compare(Context& context, Dissemination& dissemination, const NodeId& from,
                     const ZoneDigests& theirs) {
  const auto total = theirs.find(AllZones());
  if (total == theirs.end()) {
    return;
  }
  if (total->second == context.table.TotalDigest()) {
    return;
  }
  for (const auto& [zone, digest] : theirs) {
    if (zone == AllZones()) {
      continue;
    }
    if (digest == DigestOf(context, zone)) {
      this->differing.erase(zone);
    } else {
      this->Mismatch(context, dissemination, from, zone);
    }
  }
}

void Repair::Mismatch(Context& context, Dissemination& dissemination, const NodeId& from,
                      const std::string& zone) {
  const std::size_t known = context.table.ZoneSize(zone);
  if (known == 0) {
    // Nothing is known: any zone peer is as good as the sender, which spreads the load of joins.
    const MemberList peers = context.table.OfZone(context.options.zone);
    const NodeId& peer = (*peers)[context.random.Uniform(peers->size())].id;
    this->Want(context, zone, context.IsSelf(peer) ? from : peer);
    return;
  }
  MemberUpdates recent{dissemination.RecentChanges(context, zone), 0};
  if (!recent.members.empty()) {
    context.Send(from, std::move(recent));
  }
  if (this->differing.size() > kMaxWanted) {
    this->differing.clear();
  }
  const auto [entry, first] = this->differing.try_emplace(zone, context.now);
  const utils::Duration age = context.now - entry->second;
  if (first || age > kDifferenceValid) {
    entry->second = context.now;
    // Zone peers compare again with their next probes; another zone's turn may be far away.
    const Member* peer = context.table.Find(from);
    if ((peer == nullptr || peer->zone != context.options.zone) &&
        this->rechecks.size() < kMaxRechecks) {
      this->rechecks.try_emplace(from, context.now + kDifferenceAge);
    }
  } else if (age >= kDifferenceAge) {
    this->Want(context, zone, from);
  }
}

void Repair::Want(Context& context, const std::string& zone, const NodeId& peer) {
  if (this->wanted.size() < kMaxWanted && !this->requests.contains(zone)) {
    this->wanted.insert_or_assign(zone, peer);
    this->StartRequests(context);
  }
}

void Repair::StartRequests(Context& context) {
  while (!this->wanted.empty() && this->requests.size() < context.options.max_requests) {
    const auto next = this->wanted.begin();
    context.Send(next->second, ZoneRecordsRequest{next->first});
    ++context.counters.zone_transfers_requested;
    this->requests[next->first] = Request{next->second, context.now + kRequestTimeout};
    this->wanted.erase(next);
  }
}

void Repair::OnRequest(Context& context, const NodeId& from, const ZoneRecordsRequest& request) {
  const bool running =
      std::any_of(this->transfers.begin(), this->transfers.end(), [&](const Transfer& transfer) {
        return transfer.to == from && transfer.zone == request.zone;
      });
  if (running || this->transfers.size() >= context.options.max_transfers) {
    ++context.counters.zone_transfers_refused;
    return;
  }
  this->transfers.push_back({from, request.zone, context.table.OfZone(request.zone), 0});
  ++context.counters.zone_transfers_sent;
  if (!this->pages_due) {
    this->SendPages(context);
  }
}

void Repair::SendPages(Context& context) {
  const std::uint32_t size = context.options.page_records;
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

void Repair::OnPage(Context& context, const ZoneRecords& page) {
  const auto request = this->requests.find(page.zone);
  if (request == this->requests.end()) {
    return;
  }
  request->second.deadline = context.now + kRequestTimeout;
  if (page.page + 1 >= page.page_count) {
    this->requests.erase(request);
    this->differing.erase(page.zone);
    this->StartRequests(context);
  }
}

void Repair::ProbeOtherZone(Context& context, Dissemination& dissemination,
                            FailureDetector& detector) {
  if (!this->foreign_target.empty() && this->foreign_sent < context.now) {
    context.MarkUnreachable(this->foreign_target);
    this->foreign_target.clear();
  }
  if (!dissemination.Ranks().OwnRank(context)) {
    return;
  }
  const ZoneDigests& zones = context.table.Digests();
  auto next = zones.upper_bound(this->zone_cursor);
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
  this->zone_cursor = next->first;
  const std::size_t rank = context.random.Uniform(Gateways::kRanks);
  const NodeId* target = dissemination.Ranks().Find(context, next->first, rank);
  // Where the leading members do not answer, any other may.
  const MemberList list = context.table.OfZone(next->first);
  const NodeId& chosen =
      target != nullptr ? *target : (*list)[context.random.Uniform(list->size())].id;
  this->foreign_target = chosen;
  this->foreign_sent = context.now;
  ++context.counters.probes_sent;
  context.Send(chosen, Probe{detector.NextSequence(), ShortDigests(context)});
}

void Repair::Advance(Context& context, FailureDetector& detector) {
  std::erase_if(this->rechecks, [&](const auto& entry) {
    const bool due = entry.second <= context.now;
    if (due) {
      context.Send(entry.first, Probe{detector.NextSequence(), ShortDigests(context)});
    }
    return due;
  });
  if (this->pages_due && *this->pages_due <= context.now) {
    this->SendPages(context);
  }
  const std::size_t open = this->requests.size();
  std::erase_if(this->requests,
                [&context](const auto& entry) { return entry.second.deadline <= context.now; });
  if (this->requests.size() < open) {
    this->StartRequests(context);
  }
}

std::optional<utils::Timestamp> Repair::NextWake() const {
  std::optional<utils::Timestamp> wake = this->pages_due;
  for (const auto& [zone, request] : this->requests) {
    KeepEarlier(wake, request.deadline);
  }
  for (const auto& [peer, due] : this->rechecks) {
    KeepEarlier(wake, due);
  }
  return wake;
}

}  // namespace amaranthlatch::membership::details
