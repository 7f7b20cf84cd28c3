// Announcements and withdrawals, with their log lines.

#include "server_announcements.h"

#include <utility>

#include "amaranthlatch/runtime/log_line.h"
#include "amaranthlatch/runtime/wall_clock.h"

namespace amaranthlatch::runtime::details {

void ServerAnnouncements::Announce(Announcement announcement, NodeGate::Acknowledge acknowledge) {
  const std::optional<Announcement> before = this->order.Newest();
  if (auto taken = this->order.Take(announcement); !taken) {
    ++this->refused;
    acknowledge(std::move(taken));
    return;
  }
  const bool changed =
      !before || before->draining != announcement.draining || before->server != announcement.server;
  if (changed) {
    LogLine("backend-server-announced")
        .Add("process", announcement.server.process)
        .Add("service", announcement.server.service)
        .Add("slots", announcement.server.slots)
        .Add("draining", announcement.draining ? "true" : "false")
        .Info();
  }
  if (announcement.draining) {
    this->Withdraw(std::move(acknowledge));
  } else {
    this->link->Announce(std::move(announcement.server));
    acknowledge({});
  }
}

void ServerAnnouncements::Leave(std::string_view process, NodeGate::Acknowledge acknowledge) {
  if (!this->order.TakeLeave(process, WallTimeMilliseconds())) {
    // Another process has its address and would not run its requests.
    acknowledge({});
    return;
  }
  LogLine("backend-server-leaves").Add("process", process).Info();
  this->Withdraw(std::move(acknowledge));
}

bool ServerAnnouncements::Restore(const directory::Withdrawal& withdrawal) {
  const bool is_withdrawn = this->order.Restore(withdrawal);
  LogLine("backend-server-withdrawn-before")
      .Add("started_at_ms", withdrawal.started_at_ms)
      .Add("departed", withdrawal.IsDeparture() ? "true" : "false")
      .Add("was_announced", is_withdrawn ? "true" : "false")
      .Info();
  if (is_withdrawn) {
    this->link->Leave();
  }
  return is_withdrawn;
}

utils::Duration ServerAnnouncements::ColdTimeLeft() const {
  const auto& newest = this->order.Newest();
  return newest ? newest->cold_left : utils::Duration{};
}

void ServerAnnouncements::Withdraw(NodeGate::Acknowledge acknowledge) {
  const directory::Withdrawal withdrawal = *this->order.LatestWithdrawal();
  this->link->Leave();
  this->report(directory::BackendServerUnavailable{withdrawal});
  this->acknowledgements.Await(withdrawal, this->clock.Now(), std::move(acknowledge));
}

}  // namespace amaranthlatch::runtime::details
