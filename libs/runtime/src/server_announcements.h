// What the backend server of a node in register mode says of itself: takes its announcements and
// withdrawals, and tells the directory of them.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "amaranthlatch/directory/event.h"
#include "amaranthlatch/runtime/announcement.h"
#include "amaranthlatch/runtime/backend_server_link.h"
#include "amaranthlatch/runtime/register_settings.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::runtime::details {

class ServerAnnouncements {
 public:
  using Report = std::function<void(const directory::BackendServerUnavailable&)>;

  // Withdrawals are reported.
  ServerAnnouncements(const RegisterSettings& settings, Report report)
      : order(settings.backend_service, settings.backend_address), report(std::move(report)) {}

  // Must be called before the first announcement; the link must outlive this object's use.
  void SetLink(BackendServerLink& backend_server) { this->link = &backend_server; }

  // Fails with kAnnouncementMalformed.
  utils::Result<void> Announce(Announcement announcement);
  // The backend server of this name leaves; unknown names are no fault.
  void Leave(std::string_view process);
  // True if the newest announcement was sent before a withdrawal of which an earlier process of
  // this node was told. Its server is then left; that is not reported.
  bool Restore(const directory::Withdrawal& withdrawal);

  utils::Duration ColdTimeLeft() const;
  std::uint64_t Refused() const { return this->refused; }

 private:
  void Withdraw();

  AnnouncementOrder order;
  const Report report;
  BackendServerLink* link = nullptr;
  std::uint64_t refused = 0;
};

}  // namespace amaranthlatch::runtime::details
