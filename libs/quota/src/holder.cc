// Requests of nodes, and how credit is divided among them.

#include "holder.h"

#include <algorithm>
#include <cmath>

#include "seconds.h"

namespace amaranthlatch::quota::details {

namespace {

using membership::NodeId;
using utils::Duration;
using utils::Timestamp;

// A node that has not repeated its demand for this long has none, or is gone.
constexpr Duration kDemandMemory = utils::Milliseconds(600);
// Calls that wait are refused by their node soon after this time.
constexpr Duration kWaitMemory = utils::Milliseconds(120);
// Calls may wait for credit that is refilled within this time; others are refused at once.
constexpr double kMaxRefillWaitSeconds = 0.02;
constexpr double kMinRetrySeconds = 0.02;
constexpr double kMaxRetrySeconds = 0.1;
// Shortest time between two attempts to serve calls that wait, and the longest.
constexpr double kMinServiceSeconds = 0.01;
constexpr double kMaxServiceSeconds = 0.05;
// Credit is divided by demand when, after a grant, less is left than the others use in this time.
constexpr double kScarceSeconds = 0.05;
// Credit beyond the calls that are sure to come is granted only while the bucket holds more than
// all nodes together use in this time.
constexpr double kSpareSeconds = 0.1;
// Sums of fractions that make a whole may be slightly less than it.
constexpr double kRounding = 1e-6;

std::uint32_t Whole(double amount) {
  return amount <= 0.0 ? 0 : static_cast<std::uint32_t>(amount + kRounding);
}

}  // namespace

double Holder::Account::Rate() const {
  double rate = 0.0;
  for (const NodeDemand& demand : this->demands) {
    rate += demand.rate;
  }
  return rate;
}

std::uint32_t Holder::Account::Waiting() const {
  std::uint32_t count = 0;
  for (const NodeDemand& demand : this->demands) {
    count += demand.waiting;
  }
  return count;
}

void Holder::Advance(Timestamp now, std::uint64_t members) {
  this->member_count = members;
  if (this->claims.Advance(now, members)) {
    // Each bucket is cut to the smaller share before the share may grow again.
    for (auto& [workspace, account] : this->accounts) {
      account.bucket.Refill(this->claims, now);
    }
  }
}

void Holder::OnLimitsChanged(const std::vector<std::string>& changed, Timestamp now) {
  for (const std::string& workspace : changed) {
    const auto found = this->accounts.find(workspace);
    if (found == this->accounts.end()) {
      continue;
    }
    const Limit* const limit = this->limits.Find(workspace);
    if (limit == nullptr) {
      this->accounts.erase(found);
      this->waiting.erase(workspace);
      continue;
    }
    found->second.bucket.Refill(this->claims, now);
    found->second.bucket.SetLimit(*limit, this->claims);
  }
}

void Holder::SetGroups(const std::vector<std::vector<NodeId>>& groups) {
  this->rounds.SetGroups(groups);
  for (auto& [workspace, account] : this->accounts) {
    account.is_round_open = false;
    account.surplus.clear();
  }
}

void Holder::OnRequest(const NodeId& from, const CreditRequest& request, Timestamp now) {
  Requester& requester = this->requesters[from];
  if (requester.latest.boot_id == request.sent.boot_id &&
      request.sent.time <= requester.latest.time) {
    // A duplicate, or older than what is known.
    return;
  }
  requester = Requester{request.sent, 0, now};
  if (request.delegation && request.delegation->boot_id == this->options.boot_id) {
    this->claims.Renew(from, request.delegation->time, now);
  }
  std::vector<Grant> grants;
  for (const Demand& demand : request.demands) {
    Account* const account = this->Find(demand.workspace, now);
    if (account == nullptr) {
      continue;
    }
    const Grant grant = this->Serve(*account, from, demand, now);
    if (grant.credit > 0 || grant.retry_ms > 0) {
      grants.push_back(grant);
    }
    if (account->Waiting() > 0) {
      this->waiting.insert(demand.workspace);
      this->next_service = std::min(this->next_service, now + FromSeconds(kMinServiceSeconds));
      this->is_lacking = true;
    }
  }
  this->SendGrants(from, std::move(grants), now);
}

void Holder::Poll(Timestamp now) {
  this->EndRounds(now);
  if (!this->waiting.empty() && now >= this->next_service) {
    this->ServeAllWaiting(now);
    this->is_lacking = true;
  }
  if (std::exchange(this->is_lacking, false)) {
    this->AskOthers(true, now);
  }
  if (!this->accounts.empty() && now >= this->next_round) {
    this->next_round = now + this->options.transfer_interval;
    this->DropIdle(now);
    this->AskOthers(false, now);
  }
}

std::optional<Timestamp> Holder::NextWake() const {
  if (this->accounts.empty()) {
    return std::nullopt;
  }
  Timestamp next = this->is_lacking ? Timestamp{} : this->next_round;
  if (!this->waiting.empty()) {
    next = std::min(next, this->next_service);
  }
  if (const std::optional<Timestamp> round = this->rounds.NextWake()) {
    next = std::min(next, *round);
  }
  return next;
}

Holder::Account* Holder::Find(const std::string& workspace, Timestamp now) {
  auto found = this->accounts.find(workspace);
  if (found == this->accounts.end()) {
    const Limit* const limit = this->limits.Find(workspace);
    if (limit == nullptr) {
      return nullptr;
    }
    if (this->accounts.empty()) {
      this->next_round = now;
    }
    found = this->accounts.try_emplace(workspace, Bucket(*limit, this->options, this->claims), now)
                .first;
  }
  found->second.last_used = now;
  this->Update(found->second, now);
  return &found->second;
}

void Holder::Update(Account& account, Timestamp now) {
  account.bucket.Refill(this->claims, now);
  std::erase_if(account.demands, [now](const NodeDemand& demand) {
    return now - demand.updated_at >= kDemandMemory;
  });
}

Grant Holder::Serve(Account& account, const NodeId& node, const Demand& demand, Timestamp now) {
  auto known = std::find_if(account.demands.begin(), account.demands.end(),
                            [&node](const NodeDemand& entry) { return entry.node == node; });
  if (known == account.demands.end()) {
    known = account.demands.insert(account.demands.end(), NodeDemand{node, 0.0, 0, now});
  }
  known->rate = static_cast<double>(demand.rate) / kCreditUnits;
  known->waiting = demand.waiting;
  known->updated_at = now;
  Grant grant{demand.workspace, this->Divide(account, *known, demand.wanted), 0,
              LimitTag(account.bucket.GetLimit())};
  account.bucket.Take(grant.credit);
  known->waiting -= std::min(known->waiting, grant.credit);
  const std::uint32_t more =
      std::min(demand.wanted - grant.credit, Whole(this->SpareCredit(account)));
  account.bucket.Take(more);
  grant.credit += more;
  if (known->waiting > 0) {
    grant.retry_ms = this->RetryTime(account, now);
    known->waiting = grant.retry_ms > 0 ? 0 : known->waiting;
  }
  return grant;
}

std::uint32_t Holder::Divide(const Account& account, const NodeDemand& demand,
                             std::uint32_t wanted) const {
  const double available = account.bucket.Available();
  const double calls = demand.rate * ToSeconds(this->options.request_interval);
  const double total_rate = account.Rate();
  // Calls that arrive before the credit expires, with a high probability.
  const std::uint32_t expected = Whole(calls - std::sqrt(calls));
  std::uint32_t sure = std::min(wanted, demand.waiting + expected);
  if (available < sure + (total_rate - demand.rate) * kScarceSeconds) {
    const double part = total_rate > 0.0 ? available * demand.rate / total_rate : available;
    const std::uint32_t at_least = demand.waiting > 0 ? 1 : 0;
    sure = std::min({sure, std::max(at_least, Whole(part)), Whole(available)});
  }
  return std::min(sure, Whole(available));
}

double Holder::SpareCredit(const Account& account) const {
  return account.bucket.Available() - account.Waiting() - account.Rate() * kSpareSeconds -
         kFullPart * this->CapacityOf(account);
}

std::uint32_t Holder::RetryTime(const Account& account, Timestamp now) const {
  const double missing = account.Waiting() - account.bucket.Available();
  const double inflow = this->Inflow(account, now);
  const double wait = inflow > 0.0 ? missing / inflow : kMaxRetrySeconds;
  if (wait <= kMaxRefillWaitSeconds || this->MayReceive(account, missing, now)) {
    return 0;
  }
  return static_cast<std::uint32_t>(1000.0 * std::clamp(wait, kMinRetrySeconds, kMaxRetrySeconds));
}

bool Holder::MayReceive(const Account& account, double missing, Timestamp now) const {
  if (!this->rounds.HasResponsiveHolder(now)) {
    return false;
  }
  double left = 0.0;
  for (const Surplus& surplus : account.surplus) {
    left += surplus.left;
  }
  return account.is_round_open || now >= account.others_known_until || left >= missing;
}

double Holder::Inflow(const Account& account, Timestamp now) const {
  return this->claims.Share() * account.bucket.GetLimit().rate +
         account.inflow * std::exp(-ToSeconds(now - account.inflow_at) / kInflowSeconds);
}

void Holder::ServeAllWaiting(Timestamp now) {
  GrantsByNode grants;
  double next = kMaxServiceSeconds;
  for (auto workspace = this->waiting.begin(); workspace != this->waiting.end();) {
    Account& account = this->accounts.at(*workspace);
    this->Update(account, now);
    this->ServeWaiting(*workspace, account, now, grants);
    if (account.Waiting() == 0) {
      workspace = this->waiting.erase(workspace);
      continue;
    }
    const double inflow = this->Inflow(account, now);
    const double missing = 1.0 - account.bucket.Available();
    next = std::min(next, inflow > 0.0 ? missing / inflow : kMaxServiceSeconds);
    ++workspace;
  }
  next = std::max(next, kMinServiceSeconds);
  this->next_service = now + FromSeconds(next);
  for (auto& [node, entries] : grants) {
    this->SendGrants(node, std::move(entries), now);
  }
}

void Holder::ServeWaiting(const std::string& workspace, Account& account, Timestamp now,
                          GrantsByNode& grants) {
  const std::uint32_t tag = LimitTag(account.bucket.GetLimit());
  const double available = account.bucket.Available();
  const double total = account.Waiting();
  const std::uint32_t retry_ms = total > available ? this->RetryTime(account, now) : 0;
  for (NodeDemand& demand : account.demands) {
    if (demand.waiting == 0) {
      continue;
    }
    if (now - demand.updated_at >= kWaitMemory) {
      demand.waiting = 0;
      continue;
    }
    const std::uint32_t part = std::max(1U, Whole(available * demand.waiting / total));
    const std::uint32_t credit =
        std::min({demand.waiting, part, Whole(account.bucket.Available())});
    account.bucket.Take(credit);
    demand.waiting -= credit;
    const std::uint32_t retry = demand.waiting > 0 ? retry_ms : 0;
    demand.waiting = retry > 0 ? 0 : demand.waiting;
    if (credit > 0 || retry > 0) {
      grants[demand.node].push_back(Grant{workspace, credit, retry, tag});
    }
  }
}

void Holder::SendGrants(const NodeId& node, std::vector<Grant> grants, Timestamp now) {
  Requester& requester = this->requesters.at(node);
  this->effects.emplace_back(SendMessage{
      node, CreditGrant{requester.latest, requester.next_part++, Stamp{this->options.boot_id, now},
                        this->member_count, std::move(grants)}});
}

}  // namespace amaranthlatch::quota::details
