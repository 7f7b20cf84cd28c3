// Order of announcements.

#include "amaranthlatch/runtime/announcement.h"

namespace amaranthlatch::runtime {

namespace {
// Processes that left are few: each start of the backend server adds one.
constexpr std::size_t kMaxLeft = 64;
// Wall clocks of a backend server and its node differ by less.
constexpr std::uint64_t kClockMarginMs = 5000;
}  // namespace

utils::Result<void> AnnouncementOrder::Take(const Announcement& announcement) {
  const auto refuse = [](const char* text) {
    return utils::Fail(utils::ErrorCode::kAnnouncementMalformed, text);
  };
  const BackendServer& server = announcement.server;
  if (server.service != this->service || server.address != this->address) {
    return refuse("it is not the backend server of this node");
  }
  const std::tuple<std::uint64_t, std::uint64_t> order(announcement.started_at_ms,
                                                       announcement.sequence);
  if (order <= this->last) {
    return refuse("a later announcement is known");
  }
  const auto departure = this->left.find(server.process);
  if (departure != this->left.end() && announcement.started_at_ms <= departure->second) {
    return refuse("the process has left");
  }
  this->last = order;
  this->newest = announcement;
  return {};
}

bool AnnouncementOrder::TakeLeave(std::string_view process, std::uint64_t wall_ms) {
  const bool is_newest = this->newest && this->newest->server.process == process;
  if (this->left.size() < kMaxLeft) {
    this->left[std::string(process)] =
        is_newest ? this->newest->started_at_ms : wall_ms + kClockMarginMs;
  }
  if (this->newest && !is_newest) {
    return false;
  }
  this->newest.reset();
  return true;
}

}  // namespace amaranthlatch::runtime
