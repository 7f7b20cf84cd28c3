// Recent senders of calls.

#include "recent_callers.h"

namespace amaranthlatch::node::details {

namespace {

constexpr utils::Duration kRecent = utils::Seconds(60);
constexpr std::size_t kMaxCallers = 4'096;

}  // namespace

void RecentCallers::Heard(const membership::NodeId& from, utils::Timestamp now) {
  if (this->heard.size() >= kMaxCallers && !this->heard.contains(from)) {
    this->Prune(now);
    if (this->heard.size() >= kMaxCallers) {
      return;
    }
  }
  this->heard[from] = now;
}

void RecentCallers::Prune(utils::Timestamp now) {
  std::erase_if(this->heard, [now](const auto& entry) { return now - entry.second > kRecent; });
}

std::vector<membership::NodeId> RecentCallers::List(utils::Timestamp now) const {
  std::vector<membership::NodeId> callers;
  for (const auto& [id, time] : this->heard) {
    if (now - time <= kRecent) {
      callers.push_back(id);
    }
  }
  return callers;
}

}  // namespace amaranthlatch::node::details
