// State shared by the components of the membership reducer while it handles one event.

#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "amaranthlatch/membership/effect.h"
#include "amaranthlatch/membership/member_table.h"
#include "amaranthlatch/membership/membership.h"
#include "amaranthlatch/membership/options.h"
#include "amaranthlatch/utils/random.h"

namespace amaranthlatch::membership::details {

struct Context {
  static constexpr std::size_t kMaxUnreachable = 4'096;
  // How long a member counts as unreachable after a failed probe or send.
  static constexpr utils::Duration kUnreachableTimeout = utils::Seconds(30);

  Context(Options settings, const Member& self)
      : options(std::move(settings)), table(self), random(options.seed) {}

  void Send(const NodeId& to, Message message) {
    ++this->counters.messages_sent;
    this->effects.push_back(SendMessage{to, std::move(message)});
  }

  void MarkUnreachable(const NodeId& id) {
    if (this->unreachable.size() >= kMaxUnreachable) {
      this->unreachable.clear();
    }
    this->unreachable[id] = this->now;
  }

  bool IsReachable(const NodeId& id) const {
    const auto found = this->unreachable.find(id);
    return found == this->unreachable.end() || this->now - found->second > kUnreachableTimeout;
  }

  bool IsSelf(const NodeId& id) const { return id == this->options.id; }

  const Options options;
  MemberTable table;
  utils::Random random;
  Counters counters;
  // When a probe or send to a member last failed. Unreachable members are not chosen as gateways
  // or as receivers of pushes.
  std::map<NodeId, utils::Timestamp> unreachable;
  // Set for the duration of one event.
  utils::Timestamp now{};
  std::vector<Effect> effects;
};

// Sets `earliest` to `time` if `earliest` is empty or later.
inline void UpdateEarliest(std::optional<utils::Timestamp>& earliest, utils::Timestamp time) {
  if (!earliest || time < *earliest) {
    earliest = time;
  }
}

}  // namespace amaranthlatch::membership::details
