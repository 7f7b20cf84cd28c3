// Waiting acknowledgements, answered by a stored withdrawal or by time.

#include "withdrawal_acknowledgements.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace amaranthlatch::runtime::details {

void WithdrawalAcknowledgements::Await(const directory::Withdrawal& withdrawal,
                                       utils::Timestamp now, Acknowledge acknowledge) {
  if (this->IsStored(withdrawal)) {
    acknowledge({});
    return;
  }
  this->waiting.push_back({withdrawal, now + kLimit, std::move(acknowledge)});
}

void WithdrawalAcknowledgements::OnStored(const std::optional<directory::Withdrawal>& withdrawal) {
  this->stored = withdrawal;
  const auto first_stored = std::stable_partition(
      this->waiting.begin(), this->waiting.end(),
      [this](const Waiting& each) { return !this->IsStored(each.withdrawal); });
  std::vector<Waiting> done(std::make_move_iterator(first_stored),
                            std::make_move_iterator(this->waiting.end()));
  this->waiting.erase(first_stored, this->waiting.end());
  for (const Waiting& each : done) {
    each.acknowledge({});
  }
}

void WithdrawalAcknowledgements::RefuseOverdue(utils::Timestamp now) {
  const auto first_in_time =
      std::find_if(this->waiting.begin(), this->waiting.end(),
                   [now](const Waiting& each) { return now < each.overdue_at; });
  std::vector<Waiting> late(std::make_move_iterator(this->waiting.begin()),
                            std::make_move_iterator(first_in_time));
  this->waiting.erase(this->waiting.begin(), first_in_time);
  this->overdue += late.size();
  for (const Waiting& each : late) {
    each.acknowledge(utils::Fail(utils::ErrorCode::kWithdrawalNotStored,
                                 "the register has not stored the withdrawal in time"));
  }
}

std::optional<utils::Timestamp> WithdrawalAcknowledgements::NextOverdue() const {
  return this->waiting.empty() ? std::nullopt : std::optional(this->waiting.front().overdue_at);
}

bool WithdrawalAcknowledgements::IsStored(const directory::Withdrawal& withdrawal) const {
  return this->stored && this->stored->process == withdrawal.process &&
         std::tuple(this->stored->started_at_ms, this->stored->sequence) >=
             std::tuple(withdrawal.started_at_ms, withdrawal.sequence);
}

}  // namespace amaranthlatch::runtime::details
