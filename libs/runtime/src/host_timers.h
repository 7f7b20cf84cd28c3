// Wakes the node of a host in time, and stops the host once.

#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <optional>

#include "amaranthlatch/runtime/host.h"
#include "amaranthlatch/utils/clock.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime::details {

class HostTimers {
 public:
  // `on_stopped` is called once, on the io_context.
  HostTimers(asio::io_context& context, const utils::Clock& clock, std::function<void()> wake,
             std::function<void(StopReason)> on_stopped);

  // Replaces the time at which the node is woken; none for never.
  void ScheduleWake(const std::optional<utils::Timestamp>& next);

  // Stops the host after this time; a later call replaces an earlier one.
  void StopAfter(utils::Duration time, StopReason reason);
  void Stop(StopReason reason);
  bool Stopped() const { return this->stopped; }

 private:
  asio::io_context& context;
  const utils::Clock& clock;
  const std::function<void()> wake;
  const std::function<void(StopReason)> on_stopped;
  asio::steady_timer wake_timer;
  asio::steady_timer stop_timer;
  std::optional<utils::Timestamp> scheduled_wake;
  bool stopped = false;
};

}  // namespace amaranthlatch::runtime::details
