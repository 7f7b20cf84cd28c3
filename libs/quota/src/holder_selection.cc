// Probes, timeouts and changes of the holder.

#include "holder_selection.h"

#include <algorithm>

namespace amaranthlatch::quota::details {

namespace {

using membership::NodeId;
using utils::Timestamp;

// Nodes probed at a time by a node that has no holder. Records of dead nodes stay listed, so that
// several of the best candidates may not respond.
constexpr std::size_t kProbesAtOnce = 3;
constexpr utils::Duration kMaxAvoidanceTime = utils::Seconds(60);

}  // namespace

void HolderSelection::SetCandidates(std::vector<NodeId> ranked, Timestamp now) {
  this->candidates = std::move(ranked);
  std::erase_if(this->avoided, [this](const auto& entry) {
    return this->RankOf(entry.first) == this->candidates.size();
  });
  this->next_probe =
      std::min(this->next_probe, now + this->random.Jitter(this->options.probe_interval));
}

void HolderSelection::OnMembersListed(bool was_listed, Timestamp now) {
  if (this->share_owned_from) {
    return;
  }
  const Timestamp counted = was_listed ? now : now + this->options.new_member_delay;
  this->share_owned_from = std::max(counted, this->started_at + this->options.delegation_term);
}

bool HolderSelection::OnGrant(const NodeId& from, const Stamp& sent, Timestamp now) {
  this->probed.erase(from);
  this->avoided.erase(from);
  if (this->holder.empty()) {
    this->Adopt(from, now);
  }
  if (from == this->holder) {
    this->unanswered_since.reset();
    const bool is_first = !this->received;
    const bool is_older = this->received && this->received->stamp.boot_id == sent.boot_id &&
                          sent.time < this->received->stamp.time;
    if (!is_older) {
      this->received = ReceivedStamp{sent, now};
    }
    return is_first;
  }
  const std::size_t best =
      this->RankOf(this->next_holder.empty() ? this->holder : this->next_holder);
  if (this->RankOf(from) < best) {
    this->next_holder = from;
  }
  return false;
}

void HolderSelection::OnPeerUnreachable(const NodeId& id, Timestamp now) {
  if (this->probed.erase(id) > 0 || id == this->holder || id == this->next_holder) {
    this->Avoid(id, now);
  }
}

std::vector<NodeId> HolderSelection::Poll(Timestamp now) {
  std::vector<NodeId> probes;
  this->DropUnansweredProbes(now);
  if (!this->holder.empty() && !this->HoldsItself() && this->unanswered_since &&
      now - *this->unanswered_since >= this->options.silence_limit) {
    this->Avoid(this->holder, now);
  }
  if (!this->next_holder.empty() && !this->IsShareBound(now)) {
    this->Adopt(NodeId(this->next_holder), now);
  }
  if (this->holder.empty()) {
    this->Search(now, probes);
  } else if (now >= this->next_probe) {
    this->next_probe =
        now + this->options.probe_interval / 2 + this->random.Jitter(this->options.probe_interval);
    probes = this->ToProbe(this->RankOf(this->holder), 1, now);
  }
  for (const NodeId& id : probes) {
    this->probed[id] = now;
  }
  return probes;
}

std::optional<Stamp> HolderSelection::OnRequest(Timestamp now) {
  if (!this->unanswered_since) {
    this->unanswered_since = now;
  }
  const bool owns_share = this->share_owned_from && now >= *this->share_owned_from;
  const bool is_bound_elsewhere = this->IsShareBound(now) && this->delegate != this->holder;
  if (!owns_share || is_bound_elsewhere || !this->next_holder.empty() || !this->received) {
    return std::nullopt;
  }
  const Timestamp until = this->received->received_at + this->options.delegation_term;
  if (until <= now) {
    return std::nullopt;
  }
  this->delegate = this->holder;
  this->delegated_until = std::max(this->delegated_until, until);
  return this->received->stamp;
}

std::optional<Timestamp> HolderSelection::NextWake() const {
  std::optional<Timestamp> next;
  const auto keep_earliest = [&next](Timestamp candidate) {
    if (!next || candidate < *next) {
      next = candidate;
    }
  };
  for (const auto& [id, since] : this->probed) {
    keep_earliest(since + this->options.silence_limit);
  }
  if (this->holder.empty()) {
    keep_earliest(this->search_started ? *this->search_started + this->options.search_limit
                                       : Timestamp{});
    return next;
  }
  if (this->unanswered_since && !this->HoldsItself()) {
    keep_earliest(*this->unanswered_since + this->options.silence_limit);
  }
  if (!this->next_holder.empty()) {
    keep_earliest(this->delegated_until);
  }
  if (this->RankOf(this->holder) > 0) {
    keep_earliest(this->next_probe);
  }
  return next;
}

void HolderSelection::Adopt(const NodeId& id, Timestamp now) {
  this->holder = id;
  this->search_started.reset();
  this->next_holder.clear();
  this->received.reset();
  this->unanswered_since.reset();
  this->next_probe = now + this->random.Jitter(this->options.probe_interval);
  ++this->changes;
}

void HolderSelection::Leave(Timestamp now) {
  this->holder.clear();
  this->next_holder.clear();
  this->received.reset();
  this->unanswered_since.reset();
  this->search_started = now;
}

void HolderSelection::Avoid(const NodeId& id, Timestamp now) {
  Avoidance& avoidance = this->avoided[id];
  avoidance.time = std::clamp(2 * avoidance.time, this->options.avoidance_time, kMaxAvoidanceTime);
  avoidance.until = now + avoidance.time;
  if (id == this->next_holder) {
    this->next_holder.clear();
  }
  if (id == this->holder) {
    this->Leave(now);
  }
}

bool HolderSelection::IsAvoided(const NodeId& id, Timestamp now) const {
  const auto found = this->avoided.find(id);
  return found != this->avoided.end() && now < found->second.until;
}

std::size_t HolderSelection::RankOf(const NodeId& id) const {
  return static_cast<std::size_t>(std::find(this->candidates.begin(), this->candidates.end(), id) -
                                  this->candidates.begin());
}

std::vector<NodeId> HolderSelection::ToProbe(std::size_t rank, std::size_t count, Timestamp now) {
  std::vector<NodeId> found;
  for (std::size_t i = 0; i < std::min(rank, this->candidates.size()) && found.size() < count;
       ++i) {
    const NodeId& id = this->candidates[i];
    if (id != this->options.id && !this->IsAvoided(id, now) && !this->probed.contains(id)) {
      found.push_back(id);
    }
  }
  return found;
}

void HolderSelection::Search(Timestamp now, std::vector<NodeId>& probes) {
  if (!this->search_started) {
    this->search_started = now;
  }
  const std::size_t pending = std::min(kProbesAtOnce, this->probed.size());
  probes = this->ToProbe(this->RankOf(this->options.id), kProbesAtOnce - pending, now);
  const bool is_best = probes.empty() && this->probed.empty();
  if (is_best || now - *this->search_started >= this->options.search_limit) {
    this->Adopt(this->options.id, now);
  }
}

void HolderSelection::DropUnansweredProbes(Timestamp now) {
  for (auto probe = this->probed.begin(); probe != this->probed.end();) {
    if (now - probe->second < this->options.silence_limit) {
      ++probe;
      continue;
    }
    const NodeId id = probe->first;
    probe = this->probed.erase(probe);
    this->Avoid(id, now);
  }
}

}  // namespace amaranthlatch::quota::details
