// Reports, directives and what is known of the participants.

#include "coordinator.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "versions.h"

namespace amaranthlatch::rollout::details {

namespace {

using membership::Member;
using membership::NodeId;
using utils::Duration;
using utils::Timestamp;

// Shares of the requests that may run on the new version, relative to `exposure_share`.
constexpr double kCanaryShare = 0.6;
constexpr double kRampShare = 2.0;

constexpr Duration kPollInterval = utils::Milliseconds(100);
// Evidence is judged with a report at most this often.
constexpr Duration kEvaluationInterval = utils::Milliseconds(50);
// Participants count for the majority for this long after their last report.
constexpr Duration kMemoryTime = utils::Seconds(10);
// Announcements to members that do not report: how often, and to how many at once.
constexpr Duration kAnnouncementInterval = utils::Milliseconds(500);
constexpr std::size_t kMaxAnnouncements = 16;
constexpr Duration kMinSlice = utils::Seconds(1);
// Bounds the memory of the evidence.
constexpr Duration::rep kMaxSlices = 32;
// Time under usual load for which a canary is granted runs at once.
constexpr double kChunkSeconds = 0.25;
constexpr double kMaxChunk = 16.0;
// After a pause, what was received during it is handled within this time.
constexpr Duration kDeafTime = utils::Milliseconds(300);

// What was counted since the previous report of the same process.
RouteCounters Difference(const RouteCounters& now, const RouteCounters& before) {
  RouteCounters result;
  result.route = now.route;
  result.answers = now.answers - std::min(before.answers, now.answers);
  result.failures = now.failures - std::min(before.failures, now.failures);
  auto earlier = before.latencies.begin();
  for (const LatencyCount& latency : now.latencies) {
    while (earlier != before.latencies.end() && earlier->bucket < latency.bucket) {
      ++earlier;
    }
    const bool is_known = earlier != before.latencies.end() && earlier->bucket == latency.bucket;
    const std::uint64_t known = is_known ? earlier->count : 0;
    if (latency.count > known) {
      result.latencies.push_back({latency.bucket, latency.count - known});
    }
  }
  return result;
}

}  // namespace

Coordinator::Coordinator(const Options& options, Claim from, Timestamp now)
    : options(options),
      claim(std::move(from)),
      claimed_at(now),
      elapsed(claim.elapsed, now),
      budget(options.exposure_share, options.exposure_slack),
      evidence(kCanaryShare * options.exposure_share),
      slice_length(kMinSlice),
      report_interval(options.min_report_interval),
      confirmed_at(now),
      next_poll(now) {
  this->refreshed_at = now;
  if (this->claim.is_takeover) {
    this->reason = Reason::kTakenOver;
    this->collect_until = now + CollectTime(options);
  }
}

void Coordinator::OnReport(const NodeId& from, const Report& report, Timestamp now,
                           const membership::MemberView& members, std::vector<Effect>& out) {
  if (report.term > this->claim.term) {
    this->superseded = true;
    return;
  }
  Peer& peer = this->peers[from];
  const bool is_same_process =
      peer.report.boot_id == report.boot_id && peer.report.server == report.server;
  if (is_same_process && report.sent_at <= peer.report.sent_at) {
    return;
  }
  this->Learn(report, now);
  this->Count(peer, report, is_same_process, now);
  peer.report = report;
  peer.report.routes.clear();
  peer.heard = now;
  peer.confirmed = now >= this->deaf_until ? now : peer.confirmed;
  peer.cold_until = now + report.cold_left;
  peer.is_new = report.version == this->claim.order.target_version;
  this->has_seen_new = this->has_seen_new || (peer.is_new && report.available);
  if (!peer.is_new) {
    peer.is_canary = false;
    this->old_versions.insert(report.version);
  }
  if (now - this->evaluated_at >= kEvaluationInterval) {
    this->Evaluate(now, members, out);
  }
  this->Answer(from, peer, now, out);
}

void Coordinator::Poll(Timestamp now, const membership::MemberView& members,
                       std::vector<Effect>& out) {
  if (now >= this->next_poll) {
    this->next_poll = now + kPollInterval;
    this->Evaluate(now, members, out);
    this->AnnounceToSilentMembers(now, members, out);
  }
}

void Coordinator::OnDelayed(Timestamp now) {
  for (auto& [id, peer] : this->peers) {
    peer.confirmed = {};
  }
  this->confirmed_at = {};
  this->majority_heard = {};
  this->deaf_until = now + kDeafTime;
}

void Coordinator::Learn(const Report& report, Timestamp now) {
  this->elapsed.Raise(report.elapsed, now);
  if (report.phase < Phase::kStopped) {
    this->learned_phase = std::max(this->learned_phase, report.phase);
  }
  this->learned_stop = this->learned_stop || report.stopped;
  if (report.term != this->claim.term) {
    this->budget.RaiseEarlierSum(report.granted);
  }
  if (report.superseded && !this->claim.is_takeover &&
      report.version != this->claim.completed_target) {
    AddVersion(this->claim.replaced_versions, report.version);
  }
}

void Coordinator::Count(Peer& peer, const Report& report, bool is_same_process, Timestamp now) {
  const double canary_share = kCanaryShare * this->options.exposure_share;
  const bool is_new = report.version == this->claim.order.target_version;
  if (!is_same_process) {
    // How its counters grew before is not known, so that they count by the smallest share.
    peer.routes.clear();
    peer.allowance = report.allowance;
    this->budget.AddRuns(report.started, is_new, canary_share);
    this->budget.AddEarlierGrant(report.allowance);
  } else {
    const std::uint64_t known = std::min(peer.report.started, report.started);
    const double share =
        this->phase == Phase::kRamp ? kRampShare * this->options.exposure_share : canary_share;
    this->budget.AddRuns(report.started - known, is_new, share);
    if (report.term == this->claim.term && report.sequence == peer.sequence) {
      // No directive is on its way that could allow more.
      const std::uint64_t usable = std::max(report.allowance, report.started);
      this->budget.Reclaim(peer.allowance - std::min(usable, peer.allowance));
      peer.allowance = std::min(usable, peer.allowance);
    }
  }
  if (this->IsReplaced(report.version)) {
    return;
  }
  const std::size_t slice = is_same_process ? this->SliceAt(now) : 0;
  for (const RouteCounters& counters : report.routes) {
    RouteCounters& before = peer.routes[counters.route];
    const RouteCounters delta = Difference(counters, before);
    if (delta.answers > 0) {
      this->evidence.Add(is_new, slice, delta);
      before = counters;
    }
  }
}

void Coordinator::Answer(const NodeId& to, Peer& peer, Timestamp now, std::vector<Effect>& out) {
  if (this->collect_until) {
    out.emplace_back(SendMessage{to, this->MakeRedirect()});
    return;
  }
  Directive directive;
  directive.service = this->claim.order.service;
  directive.order = this->claim.order.position;
  directive.boot_id = peer.report.boot_id;
  directive.server = peer.report.server;
  directive.term = this->claim.term;
  directive.sequence = peer.sequence = ++this->sequence;
  directive.phase = this->phase;
  directive.elapsed = this->elapsed.At(now);
  directive.sent_at = peer.report.sent_at;
  directive.replaced_versions = this->claim.replaced_versions;
  // A gate that is no canary any more gives back what it has not used.
  directive.allowance = std::min(peer.allowance, peer.report.started);
  if (IsLimited(this->phase) && peer.is_canary) {
    const std::uint64_t unspent = peer.allowance - std::min(peer.allowance, peer.report.started);
    const Duration lease =
        std::min(now + LeaseTime(this->options), this->LeaseLimit()) - peer.heard;
    // Without a lease, runs granted here could not be used.
    if (lease > now - peer.heard) {
      peer.allowance += this->budget.Grant(unspent, this->canaries, this->Chunk(now));
      directive.lease = lease;
    }
    directive.announce = true;
    directive.allowance = peer.allowance;
  }
  directive.granted = this->budget.Granted();
  out.emplace_back(SendMessage{to, std::move(directive)});
}

void Coordinator::AnnounceToSilentMembers(Timestamp now, const membership::MemberView& members,
                                          std::vector<Effect>& out) {
  if (now < this->next_announcement) {
    return;
  }
  this->next_announcement = now + kAnnouncementInterval;
  std::vector<NodeId> silent;
  for (const Member& member : *members.ServiceMembers(this->claim.order.service)) {
    const auto peer = this->peers.find(member.id);
    if (IsServing(member) && member.id != this->options.id &&
        (peer == this->peers.end() || !this->IsFresh(peer->second, now))) {
      silent.push_back(member.id);
    }
  }
  // Members are in ascending order; each round continues after the last one.
  const auto next = std::upper_bound(silent.begin(), silent.end(), this->announced_to);
  std::rotate(silent.begin(), next, silent.end());
  silent.resize(std::min(silent.size(), kMaxAnnouncements));
  for (const NodeId& id : silent) {
    out.emplace_back(SendMessage{id, this->MakeRedirect()});
    this->announced_to = id;
  }
}

Redirect Coordinator::MakeRedirect() const {
  return {this->claim.order.service, this->claim.order.position, this->options.id, this->claim.term,
          this->learned_stop || this->phase == Phase::kStopped};
}

void Coordinator::PushAll(Timestamp now, std::vector<Effect>& out) {
  for (const NodeId& id : this->FreshPeers(now)) {
    this->Answer(id, this->peers.at(id), now, out);
  }
}

std::vector<NodeId> Coordinator::FreshPeers(Timestamp now) const {
  std::vector<NodeId> result;
  for (const auto& [id, peer] : this->peers) {
    if (this->IsFresh(peer, now)) {
      result.push_back(id);
    }
  }
  return result;
}

Coordinator::Survey Coordinator::MakeSurvey(Timestamp now, const membership::MemberView& members) {
  const Order& order = this->claim.order;
  Survey survey;
  const membership::MemberList listed = members.ServiceMembers(order.service);
  this->report_interval = ReportInterval(this->options, listed->size());
  if (!this->has_surveyed) {
    // The slices keep their length, so that their numbers stay valid.
    this->has_surveyed = true;
    const Duration slice = order.duration / kMaxSlices;
    this->slice_length = std::max({kMinSlice, 2 * this->report_interval, slice});
  }
  // Times at which the participants were last heard, for the majority.
  std::vector<Timestamp> heard;
  for (const Member& member : *listed) {
    if (!IsServing(member) || this->peers.contains(member.id)) {
      continue;
    }
    heard.emplace_back();
    const std::string& version = VersionOf(member);
    if (version != order.target_version) {
      ++survey.silent_gates;
      survey.old_servers += this->IsReplaced(version) ? 0 : 1;
      this->old_versions.insert(version);
    }
  }
  for (const auto& [id, peer] : this->peers) {
    const Member* const member = members.Find(id);
    const bool is_listed = member != nullptr && IsServing(*member);
    const bool is_fresh = this->IsFresh(peer, now);
    if (is_listed || now - peer.heard < kMemoryTime) {
      heard.push_back(peer.confirmed);
    }
    const Report& report = peer.report;
    if (peer.is_new) {
      const bool accepts = is_fresh && report.available && report.accepting;
      const bool is_ready = is_listed && member->state == membership::MemberState::kReady &&
                            VersionOf(*member) == order.target_version;
      survey.accepting_slots += accepts ? report.slots : 0;
      survey.ready_slots += accepts && is_ready ? report.slots : 0;
      survey.has_in_place = survey.has_in_place || report.in_place;
      continue;
    }
    const bool may_serve = report.available && !this->IsReplaced(report.version);
    survey.old_servers += may_serve && (is_fresh || is_listed) ? 1 : 0;
    survey.old_slots += may_serve && is_fresh ? report.slots : 0;
    if (is_fresh) {
      survey.busy_gates += report.accepting || report.running > 0 ? 1 : 0;
    } else if (is_listed && report.available) {
      ++survey.silent_gates;
    }
  }
  if (heard.empty()) {
    survey.majority_heard = now;
  } else {
    const auto middle = heard.begin() + static_cast<std::ptrdiff_t>(heard.size() / 2);
    std::nth_element(heard.begin(), middle, heard.end(), std::greater<>());
    survey.majority_heard = *middle;
  }
  return survey;
}

bool Coordinator::IsReplaced(const std::string& version) const {
  return Contains(this->claim.replaced_versions, version);
}

Duration Coordinator::FreshAge() const {
  return std::max(FreshTime(this->options), 2 * this->report_interval);
}

bool Coordinator::NeedsConfirmation(Timestamp now) const {
  return now - this->confirmed_at >=
         (IsLimited(this->phase) ? LeaseTime(this->options) / 3 : SilenceTime(this->options));
}

bool Coordinator::NeedsRefresh(Timestamp now) const {
  const bool has_majority =
      now - this->majority_heard <= SilenceTime(this->options) + this->report_interval;
  return this->refresh_wanted ||
         (has_majority && now - this->refreshed_at >= RefreshInterval(this->options));
}

bool Coordinator::IsConfirmed(Timestamp now) const {
  // Half of the lease is left for the reports of the participants.
  return this->LeaseLimit() - LeaseTime(this->options) / 2 > now;
}

Timestamp Coordinator::LeaseLimit() const {
  const Timestamp by_register = this->confirmed_at + LeaseTime(this->options);
  const Timestamp by_majority =
      this->majority_heard + LeaseTime(this->options) + this->report_interval;
  return std::max(by_register, by_majority);
}

std::size_t Coordinator::SliceAt(Timestamp time) const {
  return 1 + static_cast<std::size_t>((time - this->claimed_at) / this->slice_length);
}

std::uint64_t Coordinator::Chunk(Timestamp now) const {
  const double seconds =
      std::max(1.0, std::chrono::duration<double>(now - this->claimed_at).count());
  const double rate = static_cast<double>(this->budget.Total()) / seconds /
                      static_cast<double>(std::max<std::size_t>(this->old_servers, 1));
  return static_cast<std::uint64_t>(std::clamp(kChunkSeconds * rate, 1.0, kMaxChunk));
}

StatusRecord Coordinator::MakeRecord(State state, Timestamp now) const {
  const Order& order = this->claim.order;
  StatusRecord record{order.service,         order.target_version,          state,
                      order.position,        this->claim.replaced_versions, this->options.id,
                      this->options.boot_id, this->elapsed.At(now)};
  if (state == State::kComplete) {
    for (const std::string& version : this->old_versions) {
      AddVersion(record.replaced_versions, version);
    }
  }
  return record;
}

Figures Coordinator::MakeFigures(Timestamp now) const {
  const Finding figures = this->finding ? *this->finding : this->evidence.Totals();
  return {this->claim.order.service,
          this->claim.order.position,
          this->claim.order.target_version,
          this->claim.term,
          this->phase,
          this->reason,
          this->elapsed.At(now),
          figures.route,
          figures.answers,
          figures.failures,
          figures.old_answers,
          figures.old_failures,
          figures.median,
          figures.old_median,
          this->budget.Exposure(),
          this->budget.Total()};
}

}  // namespace amaranthlatch::rollout::details
