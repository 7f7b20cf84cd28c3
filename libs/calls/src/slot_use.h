// Share of a gate's slots that calls of each priority class have used recently.
//
// Calls of more urgent classes that arrive later overtake a queued call, so that it waits for
// longer than the calls ahead of it take.

#pragma once

#include <array>
#include <cstdint>

#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls::details {

class SlotUse {
 public:
  void OnStarted(document::Priority priority, utils::Timestamp now);
  void OnEnded(document::Priority priority, utils::Timestamp now);

  std::uint32_t Running(document::Priority priority) const {
    return this->running.at(static_cast<std::size_t>(priority));
  }

  // Share of `slots`, in [0, 1], that calls of more urgent classes have used.
  double MoreUrgentShare(document::Priority priority, std::uint32_t slots,
                         utils::Timestamp now) const;

 private:
  using Sums = std::array<double, document::kPriorityCount>;

  // Slot time in microseconds by class, with exponential decay.
  Sums UsedAt(utils::Timestamp now) const;
  void Advance(utils::Timestamp now);

  std::array<std::uint32_t, document::kPriorityCount> running{};
  // As of `updated_at`.
  Sums used_us{};
  utils::Timestamp updated_at{};
  // Start of the first call.
  utils::Timestamp first_at{};
};

}  // namespace amaranthlatch::calls::details
