// Token arithmetic of the retry budget.

#include "retry_budget.h"

#include <algorithm>
#include <cmath>

namespace amaranthlatch::calls::details {

namespace {
constexpr double kPercent = 100.0;
// Time constant with which earned tokens expire. Tokens kept from before a fault come on top of
// those earned during it: with 5 s they are half of what is earned in a window of 10 s.
constexpr double kExpiryUs = 5e6;
// A node that has just started knows only some of the members.
constexpr std::size_t kMinNodes = 24;
// Share of the tokens that only nested calls may use while there are any: their callers hold slots,
// and their work is lost if the nested call fails.
constexpr double kReservedShare = 0.25;
constexpr utils::Duration kReserveTime = utils::Seconds(2);
}  // namespace

double RetryBudget::Kept(std::size_t nodes) const {
  return *this->options.retry_slack / static_cast<double>(std::max(nodes, kMinNodes));
}

RetryBudget::Bucket& RetryBudget::Find(const std::string& service) {
  const auto found = this->buckets.find(service);
  if (found != this->buckets.end()) {
    return found->second;
  }
  Bucket& bucket = this->buckets[service];
  bucket.tokens = this->options.retry_slack ? 0.0 : this->options.retry_burst;
  return bucket;
}

RetryBudget::Bucket& RetryBudget::Advance(const std::string& service, double kept,
                                          utils::Timestamp now) {
  Bucket& bucket = this->Find(service);
  const auto age = static_cast<double>((now - bucket.updated_at).count());
  const double left = std::exp(-age / kExpiryUs);
  for (double* tokens : {&bucket.tokens, &bucket.unspent}) {
    *tokens = std::min(*tokens, kept) + std::max(0.0, *tokens - kept) * left;
  }
  bucket.updated_at = now;
  return bucket;
}

void RetryBudget::OnCall(const std::string& service, document::Priority priority,
                         std::uint32_t percent, std::size_t nodes, utils::Timestamp now) {
  const double earned = percent / kPercent;
  if (!this->options.retry_slack) {
    double& tokens = this->Find(service).tokens;
    tokens = std::min(this->options.retry_burst, tokens + earned);
    return;
  }
  Bucket& bucket = this->Advance(service, this->Kept(nodes), now);
  bucket.tokens += earned;
  bucket.unspent += earned;
  if (priority == document::Priority::kInternal) {
    bucket.reserved_until = now + kReserveTime;
  }
}

std::optional<double> RetryBudget::TrySpend(const std::string& service, document::Priority priority,
                                            std::size_t nodes, utils::Timestamp now,
                                            utils::Random& random) {
  if (!this->options.retry_budget_enabled) {
    return 0.0;
  }
  if (!this->options.retry_slack) {
    double& tokens = this->Find(service).tokens;
    if (tokens < 1.0) {
      return std::nullopt;
    }
    tokens -= 1.0;
    return 1.0;
  }
  Bucket& bucket = this->Advance(service, this->Kept(nodes), now);
  const bool may_use_all =
      priority == document::Priority::kInternal || now >= bucket.reserved_until;
  const double reserved = may_use_all ? 0.0 : kReservedShare * bucket.unspent;
  const double cost = std::clamp(bucket.tokens - reserved, 0.0, 1.0);
  bucket.tokens -= cost;
  // Taken also if the draw fails, so that the expected number of retries equals the tokens spent.
  return random.Bernoulli(cost) ? std::optional(cost) : std::nullopt;
}

void RetryBudget::Refund(const std::string& service, double cost) {
  // Without a shared slack, OnCall() restores the bound with the next call.
  this->Find(service).tokens += cost;
}

}  // namespace amaranthlatch::calls::details
