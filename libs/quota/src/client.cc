// Admission, waiting and refusal of calls.

#include "client.h"

#include <algorithm>
#include <cmath>

#include "seconds.h"

namespace amaranthlatch::quota::details {

namespace {

using utils::Duration;
using utils::Timestamp;

// Calls that wait at a time, at least. More than the whole credit of a workspace are never useful.
constexpr std::size_t kMinMaxWaiting = 16;
constexpr Duration kCleanupInterval = utils::Seconds(1);
// Without a refusal for this long, a workspace is no longer reported as limited.
constexpr Duration kLimitedTime = utils::Seconds(5);
constexpr Duration kMinRetryAfter = utils::Milliseconds(50);
// Spread of the times after which refused calls may be sent again, so that they do not return
// together.
constexpr double kMinRetryFactor = 0.75;
constexpr double kRetryFactorSpread = 0.5;
constexpr double kRecentSeconds = 1.0;
// A node that is its own holder asks itself at once, but not for each call of a burst.
constexpr Duration kLocalRequestGap = utils::Milliseconds(2);

}  // namespace

void Client::OnCallArrived(std::uint64_t call, const std::string& workspace, Timestamp now) {
  auto found = this->workspaces.find(workspace);
  if (found == this->workspaces.end()) {
    const Limit* const limit = this->limits.Find(workspace);
    if (limit == nullptr) {
      this->effects.emplace_back(AdmitCall{call});
      return;
    }
    const auto max_waiting = static_cast<std::size_t>(MaxCredit(*limit, this->options));
    found =
        this->workspaces
            .try_emplace(workspace, workspace, *limit, std::max(kMinMaxWaiting, max_waiting), now)
            .first;
  }
  Workspace& entry = found->second;
  entry.last_call = now;
  entry.demand.Count();
  if (entry.waiting.empty() && entry.credit.Take(now)) {
    this->Admit(entry, call);
    this->ReplenishIfLow(entry, now);
  } else if (now < entry.exhausted_until || entry.waiting.size() >= entry.max_waiting) {
    this->Refuse(entry, call, now);
  } else {
    this->Wait(entry, call, now);
  }
}

void Client::OnCallGone(std::uint64_t call) {
  const auto found = this->waiting_calls.find(call);
  if (found != this->waiting_calls.end()) {
    std::erase(found->second->waiting, call);
    this->waiting_calls.erase(found);
  }
}

void Client::OnCallNotRun(const std::string& workspace, Timestamp admitted_at, Timestamp now) {
  const auto found = this->workspaces.find(workspace);
  if (found != this->workspaces.end()) {
    found->second.credit.Return(admitted_at, now);
    this->AdmitWaiting(found->second, now);
  }
}

void Client::OnLimitsChanged(const std::vector<std::string>& changed, Timestamp now) {
  for (const std::string& name : changed) {
    const auto found = this->workspaces.find(name);
    if (found == this->workspaces.end()) {
      continue;
    }
    Workspace& workspace = found->second;
    const Limit* const limit = this->limits.Find(name);
    if (limit == nullptr) {
      for (const std::uint64_t call : workspace.waiting) {
        this->waiting_calls.erase(call);
        this->Admit(workspace, call);
      }
      this->ReportState(workspace, false);
      this->workspaces.erase(found);
      continue;
    }
    workspace.limit = *limit;
    workspace.exhausted_until = {};
    if (this->limits.WasLowered(name, now)) {
      // Credit that accrued under the former limit would exceed the new one.
      workspace.credit.Clear();
    }
  }
}

void Client::Poll(Timestamp now) {
  while (!this->deadlines.empty() &&
         (this->deadlines.front().first <= now ||
          !this->waiting_calls.contains(this->deadlines.front().second))) {
    const std::uint64_t call = this->deadlines.front().second;
    this->deadlines.pop_front();
    const auto found = this->waiting_calls.find(call);
    if (found != this->waiting_calls.end()) {
      Workspace& workspace = *found->second;
      std::erase(workspace.waiting, call);
      this->waiting_calls.erase(found);
      ++this->counters.calls_timed_out;
      this->Refuse(workspace, call, now);
    }
  }
  if (now >= this->next_cleanup) {
    this->next_cleanup = now + kCleanupInterval;
    this->DropIdle(now);
  }
}

std::optional<Timestamp> Client::NextWake() const {
  if (!this->deadlines.empty()) {
    return this->deadlines.front().first;
  }
  if (!this->workspaces.empty()) {
    return this->next_cleanup;
  }
  return std::nullopt;
}

void Client::Admit(Workspace& workspace, std::uint64_t call) {
  ++workspace.admitted;
  ++this->counters.calls_admitted;
  this->effects.emplace_back(AdmitCall{call});
}

void Client::Refuse(Workspace& workspace, std::uint64_t call, Timestamp now) {
  UpdateRecent(workspace, now);
  workspace.recent_refused += 1.0;
  workspace.last_refusal = now;
  ++workspace.refused;
  ++this->counters.calls_refused;
  this->effects.emplace_back(RefuseCall{call, this->RetryAfter(workspace)});
  this->ReportState(workspace, true);
}

void Client::Wait(Workspace& workspace, std::uint64_t call, Timestamp now) {
  ++this->counters.calls_waited;
  workspace.waiting.push_back(call);
  this->waiting_calls[call] = &workspace;
  this->deadlines.emplace_back(now + this->options.wait_limit, call);
  this->RequestBy(this->has_local_holder
                      ? std::max(now, this->last_request + kLocalRequestGap)
                      : std::max(now + this->options.request_delay,
                                 this->last_request + this->options.waiting_request_gap));
}

void Client::AdmitWaiting(Workspace& workspace, Timestamp now) {
  while (!workspace.waiting.empty() && workspace.credit.Take(now)) {
    const std::uint64_t call = workspace.waiting.front();
    workspace.waiting.pop_front();
    this->waiting_calls.erase(call);
    this->Admit(workspace, call);
  }
}

void Client::RefuseWaiting(Workspace& workspace, Timestamp now) {
  while (!workspace.waiting.empty()) {
    const std::uint64_t call = workspace.waiting.front();
    workspace.waiting.pop_front();
    this->waiting_calls.erase(call);
    this->Refuse(workspace, call, now);
  }
}

// The calls refused lately return one after the other at the rate at which this node gets credit.
Duration Client::RetryAfter(const Workspace& workspace) {
  const double rate =
      std::max(workspace.recent_granted / kRecentSeconds, workspace.limit.rate * this->share);
  const double factor = kMinRetryFactor + kRetryFactorSpread * this->random.UniformReal();
  const double limit = ToSeconds(this->options.window);
  const double seconds =
      factor * (rate > 0.0 ? std::min(limit, workspace.recent_refused / rate) : limit);
  return std::max(kMinRetryAfter, FromSeconds(seconds));
}

void Client::UpdateRecent(Workspace& workspace, Timestamp now) {
  const double seconds = ToSeconds(now - workspace.recent_since);
  const double kept = std::exp(-seconds / kRecentSeconds);
  workspace.recent_refused *= kept;
  workspace.recent_granted *= kept;
  workspace.recent_since = now;
}

void Client::ReportState(Workspace& workspace, bool is_limited) {
  if (workspace.is_limited != is_limited) {
    workspace.is_limited = is_limited;
    this->effects.emplace_back(LimitStateChanged{
        workspace.name, is_limited, workspace.limit, workspace.demand.Rate(),
        std::exchange(workspace.admitted, 0), std::exchange(workspace.refused, 0)});
  }
}

void Client::DropIdle(Timestamp now) {
  for (auto entry = this->workspaces.begin(); entry != this->workspaces.end();) {
    Workspace& workspace = entry->second;
    if (workspace.is_limited && now - workspace.last_refusal >= kLimitedTime) {
      this->ReportState(workspace, false);
    }
    const bool is_idle =
        workspace.waiting.empty() && now - workspace.last_call >= this->options.idle_time;
    entry = is_idle ? this->workspaces.erase(entry) : std::next(entry);
  }
}

}  // namespace amaranthlatch::quota::details
