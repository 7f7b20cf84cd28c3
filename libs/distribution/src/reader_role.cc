// Reader takeover within a region.

#include "reader_role.h"

#include <algorithm>

namespace amaranthlatch::distribution::details {

namespace {

// Candidates beyond this rank take over together: several nodes have failed by then, and a longer
// delay would only postpone configuration changes.
constexpr std::size_t kMaxTakeoverSteps = 3;

}  // namespace

utils::Duration ReaderRole::TakeoverDelay() const {
  const std::size_t steps = std::min(this->rank.value_or(0), kMaxTakeoverSteps);
  return this->options.reader_takeover * static_cast<std::int64_t>(steps);
}

bool ReaderRole::Update(const Context& context) {
  const std::optional<std::size_t> current = this->topology.OwnReaderRank();
  if (current && !this->rank) {
    this->takeover_delay_start = context.now;
  }
  this->rank = current;
  const bool was_active = this->active;
  const bool due = context.now - this->takeover_delay_start >= this->TakeoverDelay();
  this->active = this->rank && (*this->rank == 0 || due);
  if (this->active && !was_active) {
    this->next_heartbeat = context.now;
    this->counters.reader_takeovers += *this->rank == 0 ? 0 : 1;
  }
  return this->active;
}

void ReaderRole::OnHeartbeat(const Context& context, const membership::NodeId& from,
                             const ReaderHeartbeat& heartbeat, Offset held) {
  const NodeIds& order = this->topology.ReaderCandidates(this->topology.Region());
  const auto sender = std::find(order.begin(), order.end(), from);
  const auto own = std::find(order.begin(), order.end(), this->topology.Self());
  if (own == order.end() || sender >= own) {
    return;
  }
  if (heartbeat.log_reachable && heartbeat.held >= held) {
    this->takeover_delay_start = context.now;
  } else if (!heartbeat.log_reachable && this->rank == 1U) {
    this->takeover_delay_start =
        std::min(this->takeover_delay_start, context.now - this->options.reader_takeover);
  }
}

void ReaderRole::Run(const Context& context, Offset held, bool following) {
  if (!this->active || this->next_heartbeat > context.now) {
    return;
  }
  this->next_heartbeat = context.now + this->options.reader_heartbeat;
  for (const membership::NodeId& id : this->topology.ReaderCandidates(this->topology.Region())) {
    if (id != this->topology.Self()) {
      context.Send(id, ReaderHeartbeat{.held = held, .log_reachable = following});
    }
  }
}

std::optional<utils::Timestamp> ReaderRole::NextWake() const {
  if (this->active) {
    return this->next_heartbeat;
  }
  return this->rank ? std::optional(this->takeover_delay_start + this->TakeoverDelay())
                    : std::nullopt;
}

}  // namespace amaranthlatch::distribution::details
