// The HTTP servers of a node in register mode: readiness, control, admin and callers.

#pragma once

#include <asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>

#include "amaranthlatch/runtime/register_settings.h"
#include "amaranthlatch/runtime/restinio_server.h"
#include "dialect_gateway.h"
#include "http/control_listener.h"
#include "settings/memory_plan.h"

namespace amaranthlatch::runtime::details {

class RegisterServers {
 public:
  // `control` answers the backend server and the platform, `admin` the operators.
  RegisterServers(ControlListener::Handler control, ControlListener::Handler admin);

  // Listens on all addresses. `gateway` gets the requests of callers; it must outlive the servers.
  // `sent_to_others` is told the bytes of answers to callers on other instances.
  utils::Result<void> Open(asio::io_context& context, const RegisterSettings& settings,
                           const MemoryPlan& memory, DialectGateway& gateway,
                           std::function<void(std::size_t)> sent_to_others);

  // The server of callers. Must not be called before Open.
  RestinioServer& Data() { return *this->data_server; }
  const RestinioServer& Data() const { return *this->data_server; }

 private:
  // One listener for each server, because each answers by its own.
  ControlListener control;
  ControlListener ready;
  ControlListener admin;
  std::unique_ptr<RestinioServer> ready_server;
  std::unique_ptr<RestinioServer> control_server;
  std::unique_ptr<RestinioServer> admin_server;
  std::unique_ptr<RestinioServer> data_server;
};

}  // namespace amaranthlatch::runtime::details
