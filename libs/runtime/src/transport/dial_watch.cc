// A probe soon after the start, and the limit.

#include "transport/dial_watch.h"

#include <string_view>
#include <utility>

#include "amaranthlatch/runtime/connection_probe.h"

namespace amaranthlatch::runtime::details {

namespace {

// A link within a zone stands after about 2 ms; one that does not by this time is probed.
constexpr utils::Duration kProbeDelay = utils::Milliseconds(20);

// The protocol header of a PUSH socket. nng's listener takes no connections for 100 ms after one
// that was closed without it.
constexpr std::string_view kPushHeader("\0SP\0\0\x50\0\0", 8);

}  // namespace

std::shared_ptr<DialWatch> DialWatch::Start(asio::io_context& context, std::string address,
                                            utils::Duration limit, std::function<void()> failed) {
  std::shared_ptr<DialWatch> watch(
      new DialWatch(context, std::move(address), limit, std::move(failed)));
  watch->After(kProbeDelay, &DialWatch::Probe);
  return watch;
}

DialWatch::DialWatch(asio::io_context& context, std::string address, utils::Duration limit,
                     std::function<void()> failed)
    : context(context),
      address(std::move(address)),
      limit(limit),
      failed(std::move(failed)),
      timer(context) {}

void DialWatch::Stop() {
  this->stopped = true;
  this->timer.cancel();
}

void DialWatch::After(utils::Duration time, void (DialWatch::*action)()) {
  this->timer.expires_after(time);
  this->timer.async_wait([weak = this->weak_from_this(), action](const asio::error_code& error) {
    const auto self = weak.lock();
    if (!error && self && !self->stopped) {
      (self.get()->*action)();
    }
  });
}

void DialWatch::Probe() {
  this->After(this->limit, &DialWatch::Fail);
  ProbeConnection(this->context, this->address, this->limit, kPushHeader,
                  [weak = this->weak_from_this()](ProbeResult result) {
                    const auto self = weak.lock();
                    if (self && result == ProbeResult::kRefused) {
                      self->Fail();
                    }
                  });
}

void DialWatch::Fail() {
  if (!this->stopped) {
    this->failed();
  }
}

}  // namespace amaranthlatch::runtime::details
