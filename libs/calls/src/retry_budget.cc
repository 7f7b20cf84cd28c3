// Token bucket arithmetic of the retry budget.

#include "retry_budget.h"

#include <algorithm>

namespace amaranthlatch::calls::details {

namespace {
constexpr double kPercent = 100.0;
}  // namespace

void RetryBudget::OnCall(const std::string& service, std::uint32_t percent) {
  double& available = this->tokens.try_emplace(service, this->burst).first->second;
  available = std::min(this->burst, available + percent / kPercent);
}

bool RetryBudget::TrySpend(const std::string& service) {
  if (!this->limited) {
    return true;
  }
  double& available = this->tokens.try_emplace(service, this->burst).first->second;
  if (available < 1.0) {
    return false;
  }
  available -= 1.0;
  return true;
}

void RetryBudget::Refund(const std::string& service) {
  const auto found = this->tokens.find(service);
  if (found != this->tokens.end()) {
    found->second = std::min(this->burst, found->second + 1.0);
  }
}

}  // namespace amaranthlatch::calls::details
