// Requests for credit, and the grants that answer them.

#include <algorithm>
#include <cmath>

#include "client.h"
#include "seconds.h"

namespace amaranthlatch::quota::details {

namespace {

using membership::NodeId;
using utils::Duration;
using utils::Timestamp;

// Credit is asked for ahead of the calls of one request interval and the time until the next
// answer, with an allowance for random variation in standard deviations.
constexpr Duration kAnswerTime = utils::Milliseconds(30);
constexpr double kVariations = 1.3;
// With fewer calls in an interval, most credit that was asked for ahead would expire unused.
constexpr double kMinExpectedCalls = 0.25;
// A node reports demand from this rate on, so that its holder knows what it will be asked for.
constexpr double kMinReportedRate = 0.5;
// Credit is replenished when it lasts for less than this time.
constexpr double kLowCreditSeconds = 0.03;
// Credit that expires within this time is partly used before: by the calls of half the time.
constexpr Duration kExpiringSoon = utils::Milliseconds(100);
constexpr double kExpiringSoonSeconds = 0.05;
// Without expiry, answers are accepted to requests of this age.
constexpr Duration kUnguardedLifetime = utils::Seconds(3600);

}  // namespace

CreditRequest Client::MakeRequest(const NodeId& holder, std::uint64_t member_count, Timestamp now) {
  CreditRequest request = this->MakeProbe(holder, member_count, now);
  this->last_request = now;
  this->next_request = now + (this->workspaces.empty() ? this->options.idle_request_interval
                                                       : this->options.request_interval);
  for (auto& [name, workspace] : this->workspaces) {
    this->counters.credit_expired += workspace.credit.Expire(now);
    workspace.demand.Update(now);
    const auto waiting = static_cast<std::uint32_t>(workspace.waiting.size());
    workspace.wanted = waiting + this->ExpectedCalls(workspace, now);
    if (workspace.wanted > 0 || workspace.demand.Rate() >= kMinReportedRate) {
      const auto rate = static_cast<std::uint64_t>(workspace.demand.Rate() * kCreditUnits);
      request.demands.push_back(Demand{name, rate, waiting, workspace.wanted});
    }
  }
  return request;
}

CreditRequest Client::MakeProbe(const NodeId& to, std::uint64_t member_count, Timestamp now) {
  ++this->counters.requests_sent;
  return CreditRequest{this->MakeStamp(to, now), member_count, std::nullopt, {}};
}

Timestamp Client::NextRequest() const {
  if (this->waiting_calls.empty()) {
    return this->next_request;
  }
  // The request for calls that wait, or its answer, may have been lost.
  const Timestamp waiting_since = this->deadlines.front().first - this->options.wait_limit;
  return std::min(this->next_request, std::max(this->last_request, waiting_since) +
                                          this->options.repeated_request_interval);
}

void Client::OnGrant(const NodeId& from, const CreditGrant& grant, Timestamp now) {
  if (!this->AcceptGrant(from, grant, now)) {
    this->counters.grants_rejected += grant.grants.empty() ? 0 : 1;
    return;
  }
  const Timestamp expires =
      grant.request.time +
      (this->options.guards.credit_expires ? this->options.credit_lifetime : kUnguardedLifetime);
  for (const Grant& entry : grant.grants) {
    this->ApplyGrant(entry, expires, now);
  }
}

void Client::ApplyGrant(const Grant& grant, Timestamp expires, Timestamp now) {
  const auto found = this->workspaces.find(grant.workspace);
  if (found == this->workspaces.end() ||
      !this->limits.Accepts(grant.workspace, found->second.limit, grant.limit_tag, now)) {
    ++this->counters.grants_rejected;
    return;
  }
  Workspace& workspace = found->second;
  workspace.is_short = grant.credit < workspace.wanted;
  UpdateRecent(workspace, now);
  workspace.recent_granted += grant.credit;
  this->counters.credit_received += grant.credit;
  workspace.credit.Add(grant.credit, expires);
  this->AdmitWaiting(workspace, now);
  if (grant.retry_ms > 0) {
    workspace.exhausted_until = now + utils::Milliseconds(grant.retry_ms);
    this->RefuseWaiting(workspace, now);
    if (workspace.demand.Rate() * ToSeconds(this->options.request_interval) >= 1.0) {
      // The credit that has come in by then may be more than the bucket of the holder can keep.
      this->RequestBy(workspace.exhausted_until);
    }
  }
}

void Client::ReplenishIfLow(const Workspace& workspace, Timestamp now) {
  const double rate = workspace.demand.Rate();
  if (workspace.is_short || rate * ToSeconds(this->options.request_interval) < kMinExpectedCalls ||
      workspace.credit.ValidAt(now) > rate * kLowCreditSeconds) {
    return;
  }
  this->RequestBy(std::max(now + this->options.request_delay,
                           this->last_request + this->options.replenishing_request_gap));
}

std::uint32_t Client::ExpectedCalls(const Workspace& workspace, Timestamp now) const {
  const double rate = workspace.demand.Rate();
  if (rate * ToSeconds(this->options.request_interval) < kMinExpectedCalls) {
    return 0;
  }
  const double calls = rate * ToSeconds(this->options.request_interval + kAnswerTime);
  const double valid = workspace.credit.ValidAt(now);
  const double lasting = workspace.credit.ValidAt(now + kExpiringSoon);
  const double usable = std::min(valid, lasting + rate * kExpiringSoonSeconds);
  const double missing = calls + kVariations * std::sqrt(calls) + 0.5 - usable;
  return missing <= 0.0 ? 0 : static_cast<std::uint32_t>(std::lround(missing));
}

// Stamps of a process increase, so that each names one request.
Stamp Client::MakeStamp(const NodeId& to, Timestamp now) {
  this->last_stamp = std::max(now, this->last_stamp + Duration(1));
  const Duration lifetime =
      this->options.guards.credit_expires ? this->options.credit_lifetime : kUnguardedLifetime;
  while (!this->sent.empty() && this->sent.front().time + lifetime <= now) {
    this->sent.pop_front();
  }
  this->sent.push_back(SentRequest{this->last_stamp, to, {}});
  return Stamp{this->options.boot_id, this->last_stamp};
}

bool Client::AcceptGrant(const NodeId& from, const CreditGrant& grant, Timestamp now) {
  const auto found = std::find_if(
      this->sent.begin(), this->sent.end(),
      [&grant](const SentRequest& request) { return request.time == grant.request.time; });
  if (found == this->sent.end() || found->to != from || grant.part >= found->accepted.size() ||
      found->accepted[grant.part]) {
    return false;
  }
  found->accepted.set(grant.part);
  return !this->options.guards.credit_expires || now < found->time + this->options.credit_lifetime;
}

}  // namespace amaranthlatch::quota::details
