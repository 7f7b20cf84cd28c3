// Limits of each server.

#include "register_servers.h"

#include <string>
#include <utility>

#include "settings/register_options.h"

namespace amaranthlatch::runtime::details {

namespace {

constexpr std::size_t kMaxControlConnections = 32;
constexpr std::size_t kMaxControlBodyBytes = 65536;

}  // namespace

RegisterServers::RegisterServers(ControlListener::Handler control, ControlListener::Handler admin)
    : control(std::move(control)), ready(this->control), admin(std::move(admin)) {}

utils::Result<void> RegisterServers::Open(asio::io_context& context,
                                          const RegisterSettings& settings,
                                          const MemoryPlan& memory, DialectGateway& gateway,
                                          std::function<void(std::size_t)> sent_to_others) {
  RestinioServerOptions options;
  options.max_header_bytes = settings.max_header_bytes;
  options.max_connections = kMaxControlConnections;
  options.max_body_bytes = kMaxControlBodyBytes;
  const auto open = [&context, &options](const std::string& address, auto& listener,
                                         std::unique_ptr<RestinioServer>& server) {
    options.address = address;
    auto opened = RestinioServer::Create(context, options, listener);
    if (opened) {
      server = std::move(*opened);
      listener.SetServer(*server);
    }
    return opened.map([](const auto& /*moved*/) {});
  };
  auto opened = open(settings.ready_address, this->ready, this->ready_server);
  if (opened) {
    opened = open(settings.control_address, this->control, this->control_server);
  }
  if (opened) {
    opened = open(settings.admin_address, this->admin, this->admin_server);
  }
  options.max_connections = MaxCallerConnections(settings);
  options.max_body_bytes = settings.max_body_bytes;
  options.max_buffered_bytes = memory.request_bytes;
  options.sent_to_others = std::move(sent_to_others);
  if (opened) {
    opened = open(settings.data_address, gateway, this->data_server);
  }
  return opened;
}

}  // namespace amaranthlatch::runtime::details
