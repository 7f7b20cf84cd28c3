// Timers of a host.

#include "host_timers.h"

#include <asio/post.hpp>
#include <cstdint>
#include <utility>

#include "amaranthlatch/runtime/log_line.h"

namespace amaranthlatch::runtime::details {

HostTimers::HostTimers(asio::io_context& context, const utils::Clock& clock,
                       std::function<void()> wake, std::function<void(StopReason)> on_stopped)
    : context(context),
      clock(clock),
      wake(std::move(wake)),
      on_stopped(std::move(on_stopped)),
      wake_timer(context),
      stop_timer(context) {}

void HostTimers::ScheduleWake(const std::optional<utils::Timestamp>& next) {
  if (next == this->scheduled_wake || this->stopped) {
    return;
  }
  this->scheduled_wake = next;
  if (!next) {
    this->wake_timer.cancel();
    return;
  }
  this->wake_timer.expires_after(*next - this->clock.Now());
  this->wake_timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      this->scheduled_wake.reset();
      this->wake();
    }
  });
}

void HostTimers::StopAfter(utils::Duration time, StopReason reason) {
  this->stop_timer.expires_after(time);
  this->stop_timer.async_wait([this, reason](const asio::error_code& error) {
    if (!error) {
      this->Stop(reason);
    }
  });
}

void HostTimers::Stop(StopReason reason) {
  if (this->stopped) {
    return;
  }
  this->stopped = true;
  this->wake_timer.cancel();
  this->stop_timer.cancel();
  LogLine("stopped").Add("reason", static_cast<std::uint64_t>(reason)).Info();
  asio::post(this->context, [done = this->on_stopped, reason] { done(reason); });
}

}  // namespace amaranthlatch::runtime::details
