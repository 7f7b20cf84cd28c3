// Order of announcements.

#include "amaranthlatch/runtime/announcement.h"

#include <algorithm>
#include <limits>

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::runtime {

namespace {
// Processes that left are few: each start of the backend server adds one.
constexpr std::size_t kMaxLeft = 64;
// Wall clocks of a backend server and its node differ by less.
constexpr std::uint64_t kClockMarginMs = 5000;
// A departure is reported again until it is acknowledged.
constexpr std::uint64_t kRepeatedDepartureMs = 5000;
constexpr std::uint64_t kAfterAnySequence = std::numeric_limits<std::uint64_t>::max();
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
  const std::uint64_t process = utils::Hash64(server.process);
  const auto departure = this->left.find(process);
  if (departure != this->left.end() && announcement.started_at_ms <= departure->second) {
    return refuse("the process has left");
  }
  // A server that announces its drain again need not be stored again.
  const bool still_drains = this->newest && this->newest->draining &&
                            this->newest->server.process == server.process &&
                            this->newest->started_at_ms == announcement.started_at_ms;
  this->last = order;
  this->newest = announcement;
  if (announcement.draining && !still_drains) {
    this->withdrawal = {process, announcement.started_at_ms, announcement.sequence};
  }
  return {};
}

bool AnnouncementOrder::TakeLeave(std::string_view process, std::uint64_t wall_ms) {
  const bool is_newest = this->newest && this->newest->server.process == process;
  const std::uint64_t hash = utils::Hash64(process);
  const bool is_repeated = !this->newest && this->withdrawal && this->withdrawal->IsDeparture() &&
                           this->withdrawal->process == hash && wall_ms >= this->departed_at_ms &&
                           wall_ms < this->departed_at_ms + kRepeatedDepartureMs;
  if (is_repeated) {
    return true;
  }
  const std::uint64_t started_at_ms =
      is_newest ? this->newest->started_at_ms : wall_ms + kClockMarginMs;
  if (this->left.size() < kMaxLeft) {
    this->left[hash] = started_at_ms;
  }
  if (this->newest && !is_newest) {
    return false;
  }
  this->newest.reset();
  this->departed_at_ms = wall_ms;
  this->withdrawal = {hash, started_at_ms, kAfterAnySequence};
  return true;
}

bool AnnouncementOrder::Restore(const directory::Withdrawal& restored) {
  if (restored.IsDeparture()) {
    std::uint64_t& latest_start = this->left[restored.process];
    latest_start = std::max(latest_start, restored.started_at_ms);
  } else {
    this->last = std::max(this->last, std::tuple(restored.started_at_ms, restored.sequence));
  }
  if (!this->withdrawal) {
    this->withdrawal = restored;
  }
  const bool is_withdrawn = this->newest &&
                            utils::Hash64(this->newest->server.process) == restored.process &&
                            std::tuple(this->newest->started_at_ms, this->newest->sequence) <=
                                std::tuple(restored.started_at_ms, restored.sequence);
  if (is_withdrawn) {
    this->newest.reset();
  }
  return is_withdrawn;
}

}  // namespace amaranthlatch::runtime
