// What the backend server of a node in register mode says of itself: takes its announcements and
// withdrawals, tells the directory of them, and acknowledges withdrawals once they are stored.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "amaranthlatch/directory/event.h"
#include "amaranthlatch/runtime/adapter.h"
#include "amaranthlatch/runtime/announcement.h"
#include "amaranthlatch/runtime/backend_server_link.h"
#include "amaranthlatch/runtime/register_settings.h"
#include "amaranthlatch/utils/clock.h"
#include "amaranthlatch/utils/time.h"
#include "withdrawal_acknowledgements.h"

namespace amaranthlatch::runtime::details {

class ServerAnnouncements {
 public:
  using Report = std::function<void(const directory::BackendServerUnavailable&)>;

  // Withdrawals are reported. The clock must outlive this object.
  ServerAnnouncements(const RegisterSettings& settings, const utils::Clock& clock, Report report)
      : order(settings.backend_service, settings.backend_address),
        clock(clock),
        report(std::move(report)) {}

  // Must be called before the first announcement; the link must outlive this object's use.
  void SetLink(BackendServerLink& backend_server) { this->link = &backend_server; }

  // As NodeGate describes them.
  void Announce(Announcement announcement, NodeGate::Acknowledge acknowledge);
  void Leave(std::string_view process, NodeGate::Acknowledge acknowledge);
  // The register holds this withdrawal of the node, or none.
  void OnStored(const std::optional<directory::Withdrawal>& withdrawal) {
    this->acknowledgements.OnStored(withdrawal);
  }
  // Refuses the acknowledgements that have waited too long. NextOverdue is when that is due next.
  void RefuseOverdue() { this->acknowledgements.RefuseOverdue(this->clock.Now()); }
  std::optional<utils::Timestamp> NextOverdue() const {
    return this->acknowledgements.NextOverdue();
  }
  // True if the newest announcement was sent before a withdrawal of which an earlier process of
  // this node was told. Its server is then left; that is not reported.
  bool Restore(const directory::Withdrawal& withdrawal);

  utils::Duration ColdTimeLeft() const;
  std::uint64_t Refused() const { return this->refused; }
  std::uint64_t Overdue() const { return this->acknowledgements.Overdue(); }

 private:
  // Tells the directory of the latest withdrawal; acknowledged once the register holds it.
  void Withdraw(NodeGate::Acknowledge acknowledge);

  AnnouncementOrder order;
  WithdrawalAcknowledgements acknowledgements;
  const utils::Clock& clock;
  const Report report;
  BackendServerLink* link = nullptr;
  std::uint64_t refused = 0;
};

}  // namespace amaranthlatch::runtime::details
