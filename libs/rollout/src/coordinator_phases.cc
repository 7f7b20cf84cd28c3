// Phases of a rollout and the choice of the canaries.

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

#include "coordinator.h"
#include "ranking.h"
#include "versions.h"

namespace amaranthlatch::rollout::details {

namespace {

using utils::Duration;
using utils::Timestamp;

// Points in time, as fractions of the duration of the order.
constexpr double kCanaryEnd = 0.5;
constexpr double kRampEnd = 0.6;
// From then on a canary phase is followed by no ramp, and less evidence is asked for, because the
// deadline is close.
constexpr double kLastRamp = 0.7;
constexpr double kRetireAt = 0.75;
// Without enough evidence the rollout is stopped; a verdict must be written before the deadline.
constexpr double kEvidenceDeadline = 0.85;
// Gates that do not report are taken for gone, because the deadline is close.
constexpr double kSilentGatesGone = 0.9;
// The rollout completes although gates of the old version still run calls.
constexpr double kCompletionDeadline = 0.95;
// Until then only servers that are no longer cold are chosen as canaries: runs of a cold one are no
// evidence.
constexpr double kWarmOnlyUntil = 0.25;
// Without any server of another version in sight until then, there is none.
constexpr double kOldServersAwaited = 0.25;

// Shortest lengths of phases, as fractions of the duration; less if the deadline is close.
constexpr double kMinRamp = 0.05;
// Entry nodes learn of the new servers meanwhile.
constexpr double kMinPromote = 0.1;
constexpr Duration kMaxMinPromote = utils::Milliseconds(1500);
// A version that is bad only under load shows it when it serves alone, and the old servers are
// still there then.
constexpr double kMinRetire = 0.1;

// Canaries per server of the old version.
constexpr double kCanaryServers = 0.07;
constexpr double kRampServers = 0.2;

}  // namespace

double Coordinator::Fraction(Timestamp now) const {
  return std::chrono::duration<double>(this->elapsed.At(now)) / this->claim.order.duration;
}

void Coordinator::Evaluate(Timestamp now, const membership::MemberView& members,
                           std::vector<Effect>& out) {
  this->evaluated_at = now;
  const Survey survey = this->MakeSurvey(now, members);
  this->old_servers = survey.old_servers;
  this->majority_heard = std::max(this->majority_heard, survey.majority_heard);
  if (this->phase == Phase::kStopped) {
    return;
  }
  if (this->collect_until) {
    if (now < *this->collect_until) {
      return;
    }
    this->collect_until.reset();
    if (!this->learned_stop) {
      this->EnterPhase(std::max(this->phase, this->learned_phase), this->reason, now, out);
    }
  }
  if (this->learned_stop) {
    this->Stop(Reason::kStopLearned, now, out);
    return;
  }
  if (std::optional<Finding> found = this->evidence.FindFault(this->RecentSlice(now))) {
    this->finding = std::move(found);
    this->Stop(this->finding->reason, now, out);
    return;
  }
  if (this->learned_phase > this->phase) {
    this->EnterPhase(this->learned_phase, Reason::kPhaseLearned, now, out);
  }
  this->SelectCanaries(now);
  this->Advance(survey, now, out);
}

std::size_t Coordinator::RecentSlice(Timestamp now) const {
  return this->SliceAt(std::max(this->claimed_at, now - RecentTime(this->options)));
}

double Coordinator::MinPhaseLength(double usual, double phases_left) const {
  const double entered =
      std::chrono::duration<double>(this->phase_elapsed) / this->claim.order.duration;
  return std::clamp((kCompletionDeadline - entered) / phases_left, 0.0, usual);
}

bool Coordinator::MayAdvance(Timestamp now) const {
  return this->IsConfirmed(now) && !this->evidence.IsSuspicious(this->RecentSlice(now));
}

void Coordinator::Advance(const Survey& survey, Timestamp now, std::vector<Effect>& out) {
  const double fraction = this->Fraction(now);
  const Duration in_phase = this->elapsed.At(now) - this->phase_elapsed;
  const double phase_fraction =
      std::chrono::duration<double>(in_phase) / this->claim.order.duration;
  // A coordinator that reaches few participants leaves the decision to another one for longer.
  const bool has_majority = now - survey.majority_heard <= this->FreshAge();
  const bool is_late = this->IsConfirmed(now) &&
                       fraction >= (has_majority ? kEvidenceDeadline : kCompletionDeadline);
  const auto has_evidence = [this, fraction] {
    return this->evidence.IsSufficient(fraction >= kLastRamp);
  };
  switch (this->phase) {
    case Phase::kCanary:
      if (survey.old_servers == 0 && this->has_seen_new &&
          (survey.has_in_place || fraction >= kOldServersAwaited) && this->MayAdvance(now)) {
        this->EnterPhase(Phase::kPromote, Reason::kNoOldServer, now, out);
      } else if (fraction >= kCanaryEnd && has_evidence() && this->MayAdvance(now)) {
        this->EnterPhase(fraction < kLastRamp ? Phase::kRamp : Phase::kPromote,
                         Reason::kEnoughEvidence, now, out);
      } else if (is_late) {
        this->Stop(this->has_seen_new ? Reason::kNotEnoughEvidence : Reason::kNoServer, now, out);
      }
      break;
    case Phase::kRamp:
      if (fraction >= kRampEnd && phase_fraction >= kMinRamp && has_evidence() &&
          this->MayAdvance(now)) {
        this->EnterPhase(Phase::kPromote, Reason::kEnoughEvidence, now, out);
      } else if (is_late) {
        this->Stop(Reason::kNotEnoughEvidence, now, out);
      }
      break;
    case Phase::kPromote:
      if (phase_fraction < this->MinPhaseLength(kMinPromote, 3.0) && in_phase < kMaxMinPromote) {
        break;
      }
      if (survey.ready_slots > 0 && survey.ready_slots >= survey.old_slots &&
          this->MayAdvance(now)) {
        this->EnterPhase(Phase::kRetire, Reason::kEnoughCapacity, now, out);
      } else if (fraction >= kRetireAt && survey.accepting_slots > 0 && this->MayAdvance(now)) {
        this->EnterPhase(Phase::kRetire, Reason::kTimeReached, now, out);
      } else if (fraction >= kCompletionDeadline && this->IsConfirmed(now)) {
        this->Stop(survey.accepting_slots > 0 ? Reason::kNotEnoughEvidence : Reason::kNoServer, now,
                   out);
      }
      break;
    case Phase::kRetire:
      this->AdvanceRetire(survey, phase_fraction, now, out);
      break;
    default:
      break;
  }
}

void Coordinator::AdvanceRetire(const Survey& survey, double phase_fraction, Timestamp now,
                                std::vector<Effect>& out) {
  if (survey.accepting_slots == 0) {
    if (this->elapsed.At(now) - this->phase_elapsed >= this->FreshAge() && this->IsConfirmed(now)) {
      this->Stop(Reason::kNoServer, now, out);
    }
    return;
  }
  const double fraction = this->Fraction(now);
  const bool are_idle =
      survey.busy_gates == 0 && (survey.silent_gates == 0 || fraction >= kSilentGatesGone);
  const bool was_long_enough = phase_fraction >= this->MinPhaseLength(kMinRetire, 2.0);
  if (this->verdict) {
    return;
  }
  if (fraction >= kCompletionDeadline && this->evidence.IsSuspicious(this->RecentSlice(now))) {
    this->Stop(Reason::kNotEnoughEvidence, now, out);
  } else if (fraction >= kCompletionDeadline ||
             (are_idle && was_long_enough && this->MayAdvance(now))) {
    this->verdict = State::kComplete;
    this->reason = are_idle ? Reason::kOldServersIdle : Reason::kTimeReached;
  }
}

void Coordinator::EnterPhase(Phase next, Reason why, Timestamp now, std::vector<Effect>& out) {
  this->refresh_wanted = this->refresh_wanted || next > this->phase;
  this->phase = next;
  this->reason = why;
  this->phase_elapsed = this->elapsed.At(now);
  this->SelectCanaries(now);
  out.emplace_back(StageChanged{this->MakeFigures(now)});
  this->PushAll(now, out);
}

void Coordinator::Stop(Reason why, Timestamp now, std::vector<Effect>& out) {
  this->verdict = State::kRolledBack;
  this->EnterPhase(Phase::kStopped, why, now, out);
  this->refresh_wanted = false;
}

void Coordinator::SelectCanaries(Timestamp now) {
  if (!IsLimited(this->phase)) {
    return;
  }
  const double fraction = this->Fraction(now);
  // A service with few calls may need more servers for its evidence.
  const bool is_wide = this->phase == Phase::kRamp || fraction >= kCanaryEnd;
  const double wanted =
      static_cast<double>(this->old_servers) * (is_wide ? kRampServers : kCanaryServers);
  const std::size_t count = std::max<std::size_t>(1, static_cast<std::size_t>(std::lround(wanted)));
  // Warm servers come first, then those that are canaries already.
  using Rank = std::tuple<bool, bool, std::uint64_t, Peer*>;
  std::vector<Rank> eligible;
  for (auto& [id, peer] : this->peers) {
    const bool was_canary = peer.is_canary;
    const bool is_warm = now >= peer.cold_until;
    peer.is_canary = false;
    if (peer.is_new && peer.report.available && this->IsFresh(peer, now) &&
        (is_warm || fraction >= kWarmOnlyUntil)) {
      eligible.emplace_back(is_warm, was_canary, RankWeight(this->claim.order, id), &peer);
    }
  }
  std::sort(eligible.rbegin(), eligible.rend());
  this->canaries = std::min(count, eligible.size());
  for (std::size_t i = 0; i < this->canaries; ++i) {
    std::get<Peer*>(eligible[i])->is_canary = true;
  }
}

}  // namespace amaranthlatch::rollout::details
