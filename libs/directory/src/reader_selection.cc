// Requests, timeouts and changes of the reader.

#include "reader_selection.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::directory::details {

namespace {

using membership::Member;
using membership::MemberState;
using membership::NodeId;
using utils::Duration;
using utils::Timestamp;

// A node that redirects to a node that redirects further has outdated information.
constexpr std::uint32_t kMaxRedirects = 3;
// Candidates that read in place of a reader that fails or is lost. The others wait for one of them.
constexpr std::size_t kMaxTakeovers = 3;

bool IsCandidate(const Member& member) {
  return member.state == MemberState::kJoining || member.state == MemberState::kReady;
}

}  // namespace

void ReaderSelection::Poll(const Situation& situation, std::vector<OutgoingMessage>& out) {
  const Timestamp now = situation.now;
  if (this->trial && now - this->trial->since >= this->options.reader_answer_timeout) {
    this->OnTrialTimeout(situation, out);
  }
  if (this->mode == ReadMode::kDiscovering) {
    if (!this->discovery_deadline) {
      this->discovery_deadline = now + this->DiscoveryTime();
    }
    if (!this->trial && now >= *this->discovery_deadline) {
      this->StartReading();
    }
    return;
  }
  if (this->mode == ReadMode::kSubscribed && !this->trial) {
    const Duration silence = now - this->last_update;
    const Duration timeout = this->SilenceTimeout(*situation.view);
    if (silence >= timeout + this->options.max_wake_delay) {
      // The node itself was delayed; an update may have been received meanwhile.
      this->last_update = now - timeout + this->options.max_wake_delay;
      this->SendRequest(this->reader, false, situation, out);
    } else if (silence >= timeout) {
      this->LeaveReader(this->options.silent_reader_avoidance, situation, out);
    } else if (this->IsRequestDue(situation)) {
      this->SendRequest(this->reader, false, situation, out);
    }
    if (this->failover_time && now >= *this->failover_time) {
      this->avoided_until[this->reader] = now + this->options.failing_reader_avoidance;
      this->StartReading();
    }
    return;
  }
  if (this->mode == ReadMode::kReading && !this->trial && now >= this->next_search) {
    this->next_search = now + this->options.reader_search_interval;
    const bool may_yield = !situation.has_subscribers ||
                           (!situation.has_insistent_subscribers && !situation.reads_fail);
    if (may_yield && !this->IsBest(situation)) {
      this->StartTrial(this->Candidates(situation).front(), false, 0, situation, out);
    }
  }
}

void ReaderSelection::OnListed(const Situation& situation, std::vector<OutgoingMessage>& out) {
  if (this->mode != ReadMode::kDiscovering || this->trial) {
    return;
  }
  const std::vector<NodeId> candidates = this->Candidates(situation);
  if (candidates.front() == this->options.id) {
    this->StartReading();
  } else {
    this->StartTrial(candidates.front(), false, 0, situation, out);
  }
}

void ReaderSelection::OnUpdate(const NodeId& from, bool healthy, const Situation& situation) {
  const bool is_reader = this->mode == ReadMode::kSubscribed && from == this->reader;
  const bool is_trial = this->trial && this->trial->peer == from;
  const bool replaces_failing_reads =
      this->mode == ReadMode::kReading && situation.reads_fail && !situation.has_subscribers;
  if (!is_reader && !is_trial && !(replaces_failing_reads && healthy)) {
    return;
  }
  if (is_trial) {
    const bool insisted = this->trial->insist;
    this->trial.reset();
    if (!healthy && !insisted) {
      this->avoided_until[from] = situation.now + this->options.failing_reader_avoidance;
      return;
    }
  }
  if (!is_reader) {
    this->subscribed_at = situation.now;
  }
  this->mode = ReadMode::kSubscribed;
  this->reader = from;
  this->last_update = situation.now;
  if (healthy) {
    this->failover_time.reset();
  } else if (!this->failover_time) {
    // The candidates try their own reads one after the other, in the order of their rank.
    const std::size_t rank = this->OwnRank(situation);
    const Duration delay = this->options.failing_reader_step * static_cast<Duration::rep>(1 + rank);
    this->failover_time =
        situation.now + (rank < kMaxTakeovers ? delay : this->options.late_failover_delay + delay);
  }
}

void ReaderSelection::OnNotice(const NodeId& from, const ReaderNotice& notice,
                               const Situation& situation, std::vector<OutgoingMessage>& out) {
  if (notice.reader == this->options.id) {
    // Either the sender hands its subscribers over, or it took this node for its reader.
    if (this->trial && this->trial->peer == from) {
      this->trial.reset();
      this->next_search = situation.now + this->options.reader_search_interval;
    }
    if (this->mode != ReadMode::kReading) {
      this->StartReading();
    }
    return;
  }
  const bool is_announcement = notice.reader == from;
  const bool from_reader = this->mode == ReadMode::kSubscribed && from == this->reader;
  const bool from_trial = this->trial && this->trial->peer == from;
  if (from_trial && is_announcement) {
    return;
  }
  const bool serves = this->mode == ReadMode::kReading && situation.has_subscribers;
  if (from_trial && serves && !this->RanksAbove(notice.reader, this->options.id)) {
    // Two readers must not yield to each other.
    this->trial.reset();
    return;
  }
  if (from_trial) {
    const std::uint32_t redirects = this->trial->redirects + 1;
    const bool avoided = this->IsAvoided(notice.reader, situation.now);
    if (redirects > kMaxRedirects) {
      this->OnTrialTimeout(situation, out);
    } else if (avoided) {
      this->StartTrial(from, true, redirects, situation, out);
    } else {
      this->StartTrial(notice.reader, false, redirects, situation, out);
    }
    return;
  }
  if (this->trial) {
    return;
  }
  if (this->IsAvoided(notice.reader, situation.now)) {
    if (from_reader && !is_announcement) {
      this->StartTrial(from, true, 0, situation, out);
    }
    return;
  }
  const bool is_unconfirmed =
      this->confirmed_at && situation.now - *this->confirmed_at > this->options.confirmation_limit;
  const bool has_no_source =
      this->mode == ReadMode::kDiscovering ||
      (this->mode == ReadMode::kSubscribed && (this->failover_time || is_unconfirmed));
  const bool is_better_reader =
      this->mode == ReadMode::kReading && !situation.has_insistent_subscribers &&
      (situation.reads_fail || this->RanksAbove(notice.reader, this->options.id));
  if ((from_reader && !is_announcement) ||
      (is_announcement && (has_no_source || is_better_reader))) {
    this->StartTrial(notice.reader, false, 0, situation, out);
  }
}

void ReaderSelection::OnInsistentRequest() {
  this->trial.reset();
  if (this->mode != ReadMode::kReading) {
    this->StartReading();
  }
}

void ReaderSelection::OnPeerUnreachable(const NodeId& id, const Situation& situation,
                                        std::vector<OutgoingMessage>& out) {
  if (this->trial && this->trial->peer == id) {
    this->OnTrialTimeout(situation, out);
  } else if (this->mode == ReadMode::kSubscribed && id == this->reader) {
    // The connection was lost; a new one shows whether the reader still runs.
    this->last_update =
        std::min(this->last_update, situation.now - this->SilenceTimeout(*situation.view) +
                                        this->options.reader_answer_timeout);
    this->SendRequest(id, false, situation, out);
  }
}

void ReaderSelection::OnUnconfirmed(const Situation& situation) {
  // The confirmation of a new reader may be on its way.
  if (this->mode != ReadMode::kSubscribed ||
      situation.now - this->subscribed_at < this->options.repeated_request_interval) {
    return;
  }
  const std::size_t rank = this->OwnRank(situation);
  const Duration turn =
      this->options.takeover_time + this->options.takeover_step * static_cast<Duration::rep>(rank);
  if (rank >= kMaxTakeovers || situation.now - *this->confirmed_at < turn) {
    return;
  }
  if (!this->reader.empty()) {
    this->avoided_until[this->reader] = situation.now + this->options.failing_reader_avoidance;
  }
  this->trial.reset();
  this->StartReading();
}

void ReaderSelection::OnCheckSucceeded(const Situation& situation) {
  // The register serves this node, but neither the reader nor the best candidates.
  if (this->mode == ReadMode::kSubscribed && this->failover_time) {
    const auto rank = static_cast<Duration::rep>(this->OwnRank(situation));
    const Duration delay =
        std::min(this->options.checked_failover_step * rank, this->options.max_checked_failover);
    this->failover_time = std::min(*this->failover_time, situation.now + delay);
  }
}

void ReaderSelection::OnReaderStale(const Situation& situation, std::vector<OutgoingMessage>& out) {
  if (this->mode == ReadMode::kSubscribed && !this->trial) {
    this->LeaveReader(this->options.silent_reader_avoidance, situation, out);
  }
}

NodeId ReaderSelection::Successor(const Situation& situation) {
  for (const NodeId& id : this->Candidates(situation)) {
    if (id != this->options.id) {
      return id;
    }
  }
  return {};
}

bool ReaderSelection::IsBest(const Situation& situation) {
  return this->Candidates(situation).front() == this->options.id;
}

std::optional<Timestamp> ReaderSelection::NextWake(const membership::MemberView& view) const {
  if (this->trial) {
    return this->trial->since + this->options.reader_answer_timeout;
  }
  switch (this->mode) {
    case ReadMode::kDiscovering:
      return this->discovery_deadline.value_or(Timestamp{});
    case ReadMode::kReading:
      return this->next_search;
    case ReadMode::kSubscribed:
      break;
  }
  Timestamp next_request = this->last_request + this->RequestInterval(view);
  if (this->confirmed_at) {
    next_request = std::min(next_request,
                            std::max(this->last_request + this->options.repeated_request_interval,
                                     *this->confirmed_at + this->options.confirmation_limit));
  }
  Timestamp next = std::min(this->last_update + this->SilenceTimeout(view), next_request);
  if (this->failover_time) {
    next = std::min(next, *this->failover_time);
  }
  return next;
}

void ReaderSelection::StartReading() {
  this->mode = ReadMode::kReading;
  this->reader.clear();
  this->failover_time.reset();
}

void ReaderSelection::StartTrial(const NodeId& peer, bool insist, std::uint32_t redirects,
                                 const Situation& situation, std::vector<OutgoingMessage>& out) {
  this->trial = Trial{peer, situation.now, insist, redirects};
  this->SendRequest(peer, insist, situation, out);
}

void ReaderSelection::SendRequest(const NodeId& to, bool insist, const Situation& situation,
                                  std::vector<OutgoingMessage>& out) {
  this->last_request = situation.now;
  UpdateRequest request = situation.request;
  request.insist = insist;
  out.push_back({to, request});
}

void ReaderSelection::OnTrialTimeout(const Situation& situation,
                                     std::vector<OutgoingMessage>& out) {
  const Trial ended = *this->trial;
  this->trial.reset();
  this->avoided_until[ended.peer] = situation.now + this->options.silent_reader_avoidance;
  if (this->mode == ReadMode::kReading) {
    return;
  }
  if (this->mode == ReadMode::kSubscribed && !this->reader.empty()) {
    // The reader named a successor that does not answer.
    this->LeaveReader(Duration{}, situation, out);
    return;
  }
  this->StartReading();
}

void ReaderSelection::LeaveReader(Duration avoid_for, const Situation& situation,
                                  std::vector<OutgoingMessage>& out) {
  if (avoid_for > Duration{}) {
    this->avoided_until[this->reader] = situation.now + avoid_for;
  }
  this->reader.clear();
  this->failover_time.reset();
  const std::vector<NodeId> candidates = this->Candidates(situation);
  if (candidates.front() == this->options.id) {
    this->StartReading();
  } else {
    this->StartTrial(candidates.front(), true, 0, situation, out);
  }
}

bool ReaderSelection::IsAvoided(const NodeId& id, Timestamp now) const {
  const auto avoided = this->avoided_until.find(id);
  return avoided != this->avoided_until.end() && now < avoided->second;
}

std::vector<NodeId> ReaderSelection::Candidates(const Situation& situation) {
  std::erase_if(this->avoided_until,
                [&situation](const auto& entry) { return entry.second <= situation.now; });
  std::vector<NodeId> candidates = {this->options.id};
  for (const Member& member : *situation.view->ZoneMembers(this->options.zone)) {
    if (member.id != this->options.id && IsCandidate(member) &&
        !this->IsAvoided(member.id, situation.now)) {
      candidates.push_back(member.id);
    }
  }
  std::sort(candidates.begin(), candidates.end(), [this](const NodeId& left, const NodeId& right) {
    return this->RanksAbove(left, right);
  });
  return candidates;
}

bool ReaderSelection::RanksAbove(const NodeId& left, const NodeId& right) const {
  const auto rank = [this](const NodeId& id) {
    return std::make_tuple(utils::RendezvousWeight(this->options.zone, id), id);
  };
  return rank(left) > rank(right);
}

Duration ReaderSelection::DiscoveryTime() const {
  // The best candidate of a new mesh is the first one to read.
  const std::uint64_t weight = utils::RendezvousWeight(this->options.zone, this->options.id);
  const double rank = 1.0 - static_cast<double>(weight) / static_cast<double>(UINT64_MAX);
  const auto spread = static_cast<double>(this->options.discovery_spread.count());
  return this->options.discovery_time + Duration(static_cast<Duration::rep>(rank * spread));
}

std::size_t ReaderSelection::OwnRank(const Situation& situation) {
  std::vector<NodeId> candidates = this->Candidates(situation);
  std::erase(candidates, this->reader);
  return static_cast<std::size_t>(
      std::find(candidates.begin(), candidates.end(), this->options.id) - candidates.begin());
}

bool ReaderSelection::IsRequestDue(const Situation& situation) const {
  const Duration elapsed = situation.now - this->last_request;
  const bool is_unconfirmed =
      this->confirmed_at && situation.now - *this->confirmed_at >= this->options.confirmation_limit;
  return elapsed >= this->RequestInterval(*situation.view) ||
         (is_unconfirmed && elapsed >= this->options.repeated_request_interval);
}

Duration ReaderSelection::RequestInterval(const membership::MemberView& view) const {
  const auto members = static_cast<Duration::rep>(view.ZoneMembers(this->options.zone)->size());
  return std::clamp(this->options.request_interval_per_member * members,
                    this->options.min_request_interval, this->options.max_request_interval);
}

Duration ReaderSelection::SilenceTimeout(const membership::MemberView& view) const {
  return 3 * this->RequestInterval(view) + this->options.min_request_interval;
}

}  // namespace amaranthlatch::directory::details
