// Refill, use and transfer of credit.

#include "bucket.h"

#include <algorithm>

#include "limit_table.h"

namespace amaranthlatch::quota::details {

using utils::Timestamp;

namespace {
constexpr double kUnguardedCapacity = 1e6;
}  // namespace

Bucket::Bucket(const quota::Limit& limit, const Options& options, const Claims& claims)
    : limit(limit),
      options(options),
      max_credit(MaxCredit(limit, options)),
      own(claims.RecentRefill(limit.rate, this->max_credit)),
      refilled_to(claims.Integral()) {}

void Bucket::SetLimit(const quota::Limit& to, const Claims& claims) {
  if (to.rate < this->limit.rate || to.burst < this->limit.burst) {
    // It accrued under the former limit.
    this->received.clear();
    this->received_sum = 0.0;
  }
  this->limit = to;
  this->max_credit = MaxCredit(to, this->options);
  this->CutToCapacity(claims);
}

void Bucket::Refill(const Claims& claims, Timestamp now) {
  while (!this->given.empty() && this->given.front().until <= now) {
    this->given_sum -= this->given.front().amount;
    this->given.pop_front();
  }
  while (!this->received.empty() && this->received.front().until <= now) {
    this->received_sum -= this->received.front().amount;
    this->own += this->received.front().amount;
    this->received.pop_front();
  }
  // Sums of fractions do not return to exactly 0.
  this->given_sum = this->given.empty() ? 0.0 : this->given_sum;
  this->received_sum = this->received.empty() ? 0.0 : this->received_sum;
  this->own += (claims.Integral() - this->refilled_to) * this->limit.rate;
  this->refilled_to = claims.Integral();
  this->CutToCapacity(claims);
}

double Bucket::Capacity(const Claims& claims) const {
  if (!this->options.guards.buckets_are_capped) {
    return kUnguardedCapacity;
  }
  return claims.Share() * this->max_credit;
}

void Bucket::Take(double amount) {
  while (amount > 0.0 && !this->received.empty()) {
    Lot& lot = this->received.front();
    const double part = std::min(amount, lot.amount);
    lot.amount -= part;
    this->received_sum -= part;
    amount -= part;
    if (lot.amount <= 0.0) {
      this->received.pop_front();
    }
  }
  this->own = std::max(0.0, this->own - amount);
}

void Bucket::Give(double amount, Timestamp now) {
  if (this->options.guards.transfers_are_debited) {
    this->own -= amount;
    this->given.push_back(Lot{amount, now + this->options.transfer_lifetime});
    this->given_sum += amount;
  }
}

void Bucket::Receive(double amount, Timestamp covered_until) {
  auto position = this->received.end();
  while (position != this->received.begin() && std::prev(position)->until > covered_until) {
    --position;
  }
  this->received.insert(position, Lot{amount, covered_until});
  this->received_sum += amount;
}

void Bucket::CutToCapacity(const Claims& claims) {
  this->own = std::min(this->own, std::max(0.0, this->Capacity(claims) - this->given_sum));
}

}  // namespace amaranthlatch::quota::details
