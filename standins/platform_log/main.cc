// Stand-in for the platform's append-only log service.

#include <docopt/docopt.h>

#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <string>

#include "standins/platform_log/log_service.h"
#include "standins/support/simple_server.h"

namespace {

constexpr char kUsage[] = R"(Stand-in for the platform's append-only log service.

Usage:
  platform_log [--ip=IP] --port=PORT
  platform_log --help

Options:
  --ip=IP      IP number to listen on [default: 127.0.0.1].
  --port=PORT  Port to listen on.

Records: POST /streams/NAME/records, GET /streams/NAME/records?from=N&limit=M&wait_ms=W.
Faults:  POST /faults {"down":bool,"delay_ms":N,"lost_answers":N,"appends_per_second":N,
                       "keep_records":N}.
Counts:  GET /counters.
)";

}  // namespace

int main(int argc, char** argv) {
  const auto args = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  auto context = std::make_shared<asio::io_context>(1);
  amaranthlatch::standins::LogService service(*context);
  const auto port = static_cast<std::uint16_t>(args.at("--port").asLong());
  const amaranthlatch::standins::SimpleServer server(
      context, args.at("--ip").asString(), port,
      [&service](const auto& request, const auto& respond) { service.Handle(request, respond); });
  asio::signal_set signals(*context, SIGTERM, SIGINT);
  signals.async_wait([&context](const std::error_code&, int) { context->stop(); });
  context->run();
  return 0;
}
