// Runs one node: turns I/O into events of the reducer, and its effects into I/O. Everything here
// runs on the thread of one io_context. The wall clock and random numbers are read here only.

#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

#include "amaranthlatch/runtime/settings.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::runtime {

// Why the host has stopped; also the exit code of the daemon.
enum class StopReason : std::uint8_t {
  kDrained = 0,
  kDrainTimedOut = 1,
  kInvariantViolated = 70,
};

class Host {
 public:
  // Opens all addresses. `stopped` is called once, on the io_context; the host is then idle.
  static utils::Result<std::unique_ptr<Host>> Create(asio::io_context& context,
                                                     const Settings& settings,
                                                     std::function<void(StopReason)> stopped);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  // Gives the first event to the node.
  void Start();

  // Begins a graceful shutdown, bounded by the longest deadline in force. Repeating it has no
  // effect.
  void BeginDrain();

 private:
  class Impl;
  explicit Host(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl;
};

}  // namespace amaranthlatch::runtime
