// Due times and answers of probes.

#include "transport/link_proof.h"

#include <algorithm>

namespace amaranthlatch::runtime::details {

namespace {

// Keep-alive messages without an answer after which a link counts as silent that owes one, and any
// other, or one whose peer still sends: that may be slow to answer.
constexpr std::size_t kSilentIntervals = 3;
constexpr std::size_t kPatientIntervals = 7;
// Intervals until a link is probed whatever it carried.
constexpr int kUnansweredIntervals = 8;
// Intervals for which a working link needs no probe on account of its peer's.
constexpr int kProvenIntervals = 2;

void KeepEarlier(std::optional<utils::Timestamp>& due, utils::Timestamp candidate) {
  due = due ? std::min(*due, candidate) : candidate;
}

auto Find(const std::vector<LinkProof::Probe>& probes, std::uint64_t nonce) {
  return std::find_if(probes.begin(), probes.end(),
                      [nonce](const LinkProof::Probe& each) { return each.nonce == nonce; });
}

}  // namespace

void LinkProof::OnSent(bool answer_expected, utils::Timestamp now) {
  this->sent_at = now;
  if (answer_expected) {
    this->asked_at = now;
    KeepEarlier(this->answer_due, now + this->interval);
  }
  KeepEarlier(this->probe_due, now + kUnansweredIntervals * this->interval);
}

void LinkProof::OnMessageAnswered() {
  this->heard_since_probe = true;
  this->answer_due.reset();
}

void LinkProof::OnPeerProbes(utils::Timestamp now) {
  if (now - this->proven_at >= kProvenIntervals * this->interval) {
    KeepEarlier(this->answer_due, now);
  }
}

bool LinkProof::IsWaiting() const {
  return this->answer_due || this->probe_due || !this->probes.empty() || !this->markers.empty();
}

LinkProof::Verdict LinkProof::OnInterval(bool is_up, utils::Timestamp now) const {
  const bool marker_is_due =
      !this->markers.empty() && now - this->markers.front().sent_at >= this->interval;
  const bool is_due = !this->probes.empty() || marker_is_due ||
                      (this->answer_due && now >= *this->answer_due) ||
                      (this->probe_due && now >= *this->probe_due);
  if (!is_due || !is_up) {
    return Verdict::kWait;
  }
  const bool is_patient = !this->answer_due || this->heard_since_probe;
  return this->probes.size() >= (is_patient ? kPatientIntervals : kSilentIntervals)
             ? Verdict::kSilent
             : Verdict::kProbe;
}

void LinkProof::OnProbeSent(const Probe& probe) {
  this->heard_since_probe = this->heard_since_probe && !this->probes.empty();
  this->probes.push_back(probe);
}

void LinkProof::OnMarkerSent(const Probe& marker) { this->markers.push_back(marker); }

// The answer proves the link for all that was sent before the probe.
std::optional<LinkProof::Probe> LinkProof::OnAnswered(std::uint64_t nonce) {
  const auto as_probe = Find(this->probes, nonce);
  const auto as_marker = Find(this->markers, nonce);
  if (as_probe == this->probes.end() && as_marker == this->markers.end()) {
    return std::nullopt;
  }
  const Probe answered = as_probe != this->probes.end() ? *as_probe : *as_marker;
  std::erase_if(this->markers,
                [&answered](const Probe& each) { return each.nonce <= answered.nonce; });
  this->proven_at = answered.sent_at;
  this->probes.clear();
  this->heard_since_probe = false;
  this->answer_due.reset();
  this->probe_due.reset();
  if (this->asked_at > this->proven_at) {
    this->answer_due = this->asked_at + this->interval;
  }
  if (this->sent_at > this->proven_at) {
    this->probe_due = this->sent_at + kUnansweredIntervals * this->interval;
  }
  return answered;
}

}  // namespace amaranthlatch::runtime::details
