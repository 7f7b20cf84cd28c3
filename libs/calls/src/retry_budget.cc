// Token buckets of retries.

#include "retry_budget.h"

#include <algorithm>

namespace amaranthlatch::calls::details {

namespace {
constexpr double kPercent = 100.0;
}  // namespace

void RetryBudget::OnCall(const std::string& service, std::uint32_t percent) {
  double& left = this->tokens.try_emplace(service, this->burst).first->second;
  left = std::min(this->burst, left + percent / kPercent);
}

bool RetryBudget::TrySpend(const std::string& service) {
  if (!this->limited) {
    return true;
  }
  double& left = this->tokens.try_emplace(service, this->burst).first->second;
  if (left < 1.0) {
    return false;
  }
  left -= 1.0;
  return true;
}

}  // namespace amaranthlatch::calls::details
