// Time-limited list of the nodes that sent calls.

#include "recent_callers.h"

namespace amaranthlatch::node::details {

namespace {

constexpr utils::Duration kRetention = utils::Seconds(60);
constexpr std::size_t kMaxCallers = 4'096;

}  // namespace

void RecentCallers::RecordCall(const membership::NodeId& from, utils::Timestamp now) {
  if (this->last_call_times.size() >= kMaxCallers && !this->last_call_times.contains(from)) {
    this->RemoveExpired(now);
    if (this->last_call_times.size() >= kMaxCallers) {
      return;
    }
  }
  this->last_call_times[from] = now;
}

void RecentCallers::RemoveExpired(utils::Timestamp now) {
  std::erase_if(this->last_call_times,
                [now](const auto& entry) { return now - entry.second > kRetention; });
}

std::vector<membership::NodeId> RecentCallers::List(utils::Timestamp now) const {
  std::vector<membership::NodeId> callers;
  for (const auto& [id, time] : this->last_call_times) {
    if (now - time <= kRetention) {
      callers.push_back(id);
    }
  }
  return callers;
}

}  // namespace amaranthlatch::node::details
