// Runs one node in register mode: turns I/O into events of node::RegisterNode, and its effects into
// I/O. Everything runs on the thread of one io_context.

#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

#include "amaranthlatch/runtime/adapter.h"
#include "amaranthlatch/runtime/host.h"
#include "amaranthlatch/runtime/register_settings.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::runtime {

class RegisterHost {
 public:
  // Opens all addresses. `adapter` must outlive the host. `stopped` is called once, on the
  // io_context; the host is then idle.
  static utils::Result<std::unique_ptr<RegisterHost>> Create(
      asio::io_context& context, const RegisterSettings& settings, Adapter& adapter,
      std::function<void(StopReason)> stopped);
  ~RegisterHost();
  RegisterHost(const RegisterHost&) = delete;
  RegisterHost& operator=(const RegisterHost&) = delete;

  // Gives the first event to the node.
  void Start();

  // Begins a graceful shutdown, bounded by the settings' limit. Repeating it has no effect.
  void BeginDrain();

 private:
  class Impl;
  explicit RegisterHost(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl;
};

}  // namespace amaranthlatch::runtime
