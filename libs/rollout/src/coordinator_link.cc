// Timeouts and changes of the target.

#include "coordinator_link.h"

#include <algorithm>

#include "timing.h"

namespace amaranthlatch::rollout::details {

namespace {

using membership::NodeId;
using utils::Duration;
using utils::Timestamp;

constexpr std::uint32_t kMaxRedirects = 3;

}  // namespace

void CoordinatorLink::Reset() {
  this->target.clear();
  this->established = false;
  this->last_answer.reset();
  this->has_lost_coordinator = false;
  this->lost_connection = false;
  this->asked_at.reset();
  this->redirects = 0;
  this->avoided.clear();
}

bool CoordinatorLink::IsAvoided(const NodeId& id, Timestamp now) const {
  const auto found = this->avoided.find(id);
  return found != this->avoided.end() && now < found->second.until;
}

bool CoordinatorLink::IsSilent(const NodeId& id, Timestamp now) const {
  return this->IsAvoided(id, now) && this->avoided.at(id).is_silent;
}

void CoordinatorLink::Choose(const std::vector<NodeId>& candidates, Timestamp now) {
  if (!this->target.empty()) {
    return;
  }
  std::erase_if(this->avoided, [now](const auto& entry) { return entry.second.until <= now; });
  const auto found =
      std::find_if(candidates.begin(), candidates.end(),
                   [this, now](const NodeId& id) { return !this->IsAvoided(id, now); });
  if (found != candidates.end()) {
    this->Follow(*found, now);
  }
}

void CoordinatorLink::OnReportSent(Timestamp now) {
  if (!this->asked_at) {
    this->asked_at = now;
  }
}

void CoordinatorLink::OnDirective(const NodeId& from, Timestamp now) {
  if (from != this->target) {
    this->Follow(from, now);
  }
  this->established = true;
  this->has_lost_coordinator = false;
  this->last_answer = now;
  this->lost_connection = false;
  this->redirects = 0;
  this->asked_at.reset();
  this->avoided.erase(from);
}

bool CoordinatorLink::OnRedirect(const NodeId& from, const NodeId& coordinator, bool announces,
                                 Timestamp now) {
  if (announces && from != this->target) {
    this->Follow(from, now);
    return true;
  }
  if (from != this->target) {
    return false;
  }
  this->lost_connection = false;
  if (coordinator == from) {
    // It claims the order, or collects reports.
    this->last_answer = now;
    this->asked_at.reset();
    return false;
  }
  if (coordinator.empty()) {
    this->Avoid(from, RefusalAvoidance(this->options), now);
    return false;
  }
  if (this->IsAvoided(coordinator, now) || ++this->redirects > kMaxRedirects) {
    this->redirects = 0;
    this->Avoid(from, RefusalAvoidance(this->options), now);
    return false;
  }
  this->Follow(coordinator, now);
  return true;
}

bool CoordinatorLink::OnUnreachable(const NodeId& id, Timestamp now) {
  if (id != this->target) {
    return false;
  }
  if (this->lost_connection) {
    this->GiveUpTarget(now);
    return true;
  }
  // A new connection shows whether the node still runs.
  this->lost_connection = true;
  return true;
}

void CoordinatorLink::Avoid(const NodeId& id, Duration duration, Timestamp now) {
  this->avoided[id] = {now + duration, false};
  if (id == this->target) {
    this->target.clear();
    this->established = false;
    this->last_answer.reset();
    this->asked_at.reset();
  }
}

bool CoordinatorLink::Poll(Timestamp now) {
  if (this->target.empty()) {
    return false;
  }
  const bool is_silent = this->asked_at && now - *this->asked_at >= this->AnswerTime();
  const bool is_idle =
      !this->established && now - this->targeted_at >= ClaimPatience(this->options);
  if (!is_silent && !is_idle) {
    return false;
  }
  this->GiveUpTarget(now);
  return true;
}

void CoordinatorLink::GiveUpTarget(Timestamp now) {
  this->has_lost_coordinator = this->has_lost_coordinator || this->last_answer;
  const NodeId lost = this->target;
  this->Avoid(lost, SilentAvoidance(this->options), now);
  this->avoided[lost].is_silent = true;
}

void CoordinatorLink::OnDelayed(Timestamp now) {
  if (this->asked_at) {
    this->asked_at = now;
  }
  this->targeted_at = now;
}

std::optional<Timestamp> CoordinatorLink::NextWake() const {
  if (this->target.empty()) {
    return std::nullopt;
  }
  std::optional<Timestamp> next;
  if (this->asked_at) {
    next = *this->asked_at + this->AnswerTime();
  }
  if (!this->established) {
    const Timestamp idle = this->targeted_at + ClaimPatience(this->options);
    next = next ? std::min(*next, idle) : idle;
  }
  return next;
}

void CoordinatorLink::Follow(const NodeId& id, Timestamp now) {
  this->target = id;
  this->established = false;
  this->last_answer.reset();
  this->lost_connection = false;
  this->targeted_at = now;
  this->asked_at.reset();
}

Duration CoordinatorLink::AnswerTime() const {
  return this->established ? SilenceTime(this->options) : CandidateTime(this->options);
}

}  // namespace amaranthlatch::rollout::details
