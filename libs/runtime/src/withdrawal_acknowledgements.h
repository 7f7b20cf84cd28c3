// Acknowledgements of withdrawals that wait until the register holds them. A withdrawal binds later
// processes of the node, which know it only from the register.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "amaranthlatch/directory/withdrawal.h"
#include "amaranthlatch/utils/result.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime::details {

class WithdrawalAcknowledgements {
 public:
  using Acknowledge = std::function<void(utils::Result<void>)>;

  // Backend servers wait for an answer for a second.
  static constexpr utils::Duration kLimit = utils::Milliseconds(800);

  // Acknowledges at once if the register holds the withdrawal, or a later one of the same process.
  void Await(const directory::Withdrawal& withdrawal, utils::Timestamp now,
             Acknowledge acknowledge);
  // The register holds this withdrawal, or none.
  void OnStored(const std::optional<directory::Withdrawal>& withdrawal);
  // Fails those that have waited for kLimit with kWithdrawalNotStored.
  void RefuseOverdue(utils::Timestamp now);
  // When the next acknowledgement is overdue; none if none waits.
  std::optional<utils::Timestamp> NextOverdue() const;

  std::uint64_t Overdue() const { return this->overdue; }

 private:
  struct Waiting {
    directory::Withdrawal withdrawal;
    utils::Timestamp overdue_at{};
    Acknowledge acknowledge;
  };

  bool IsStored(const directory::Withdrawal& withdrawal) const;

  // The withdrawal that the register holds.
  std::optional<directory::Withdrawal> stored;
  // In the order of `overdue_at`; as many as the control server has connections at most.
  std::vector<Waiting> waiting;
  std::uint64_t overdue = 0;
};

}  // namespace amaranthlatch::runtime::details
