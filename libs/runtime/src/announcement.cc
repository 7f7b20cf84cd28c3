// Order of announcements.

#include "amaranthlatch/runtime/announcement.h"

namespace amaranthlatch::runtime {

namespace {
// Processes that left are few: each start of the backend server adds one.
constexpr std::size_t kMaxLeft = 64;
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
  const bool same_start = announcement.started_at_ms == std::get<0>(this->last);
  if (same_start && this->left.contains(server.process)) {
    return refuse("the process has left");
  }
  if (!same_start) {
    this->left.clear();
  }
  this->last = order;
  this->newest = announcement;
  return {};
}

bool AnnouncementOrder::TakeLeave(std::string_view process) {
  if (this->newest && this->newest->server.process != process) {
    return false;
  }
  if (this->left.size() < kMaxLeft) {
    this->left.emplace(process);
  }
  this->newest.reset();
  return true;
}

}  // namespace amaranthlatch::runtime
