// Finds out that a link cannot be made.
//
// nng dials in the background and does not say that a peer refuses. A connection of our own shows
// that; a peer that does not answer is given up after a limit.

#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime::details {

class DialWatch : public std::enable_shared_from_this<DialWatch> {
 public:
  // `failed` is called on the io_context, possibly twice, and not after Stop() or the destructor.
  static std::shared_ptr<DialWatch> Start(asio::io_context& context, std::string address,
                                          utils::Duration limit, std::function<void()> failed);

  // The link stands.
  void Stop();

 private:
  DialWatch(asio::io_context& context, std::string address, utils::Duration limit,
            std::function<void()> failed);

  void After(utils::Duration time, void (DialWatch::*action)());
  void Probe();
  void Fail();

  asio::io_context& context;
  const std::string address;
  const utils::Duration limit;
  const std::function<void()> failed;
  asio::steady_timer timer;
  bool stopped = false;
};

}  // namespace amaranthlatch::runtime::details
