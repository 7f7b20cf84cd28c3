// Stand-in for a backend server.

#include <curl/curl.h>
#include <docopt/docopt.h>

#include <asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <iostream>
#include <memory>
#include <string>

#include "standins/backend_server/announcer.h"
#include "standins/backend_server/backend_service.h"
#include "standins/backend_server/options.h"
#include "standins/support/simple_server.h"

namespace {

using amaranthlatch::standins::BackendOptions;

constexpr char kUsage[] = R"(Stand-in for a backend server.

Usage:
  backend_server [options] --port=PORT [--label=LABEL]...
  backend_server --help

Options:
  --ip=IP            IP number to listen on [default: 127.0.0.1].
  --port=PORT        Port to listen on.
  --node=ADDRESS     Admin address of the node beside it.
  --service=NAME     Service to announce [default: demo].
  --label=LABEL      Label NAME=VALUE to announce.
  --slots=N          Requests at a time [default: 20].
  --connections=N    Connections to announce [default: 110].
  --work-ms=N        Time a request takes [default: 0].
  --cold-work-ms=N   Time added while cold [default: 0].
  --cold-time-ms=N   Time after the start in which it is cold [default: 0].
  --runs-file=FILE   File that gets one line a run.

Every path runs a request and answers with its method, path and body; X-Crash ends the process;
X-Chain: ADDRESS,ADDRESS... calls further hops first, with the host in X-Chain-Host.
Faults: POST /stand-in/faults {"shed":bool,"truncate":bool,"reported_load":N,"work_ms":N,
                               "silence_open_connections":bool}.
Runs:   GET /stand-in/runs.
SIGTERM takes leave of the node, finishes what is in flight and ends.
)";

// Time after leaving in which calls on their way still get an answer.
constexpr std::chrono::milliseconds kLingerTime{500};

std::chrono::milliseconds MillisecondsOf(const docopt::value& value) {
  return std::chrono::milliseconds(value.asLong());
}

BackendOptions OptionsFrom(const std::map<std::string, docopt::value>& args) {
  BackendOptions options;
  options.ip = args.at("--ip").asString();
  options.port = static_cast<std::uint16_t>(args.at("--port").asLong());
  if (args.at("--node")) {
    options.node_admin = args.at("--node").asString();
  }
  options.service = args.at("--service").asString();
  for (const std::string& label : args.at("--label").asStringList()) {
    const std::size_t equals = label.find('=');
    options.labels[label.substr(0, equals)] =
        equals == std::string::npos ? std::string() : label.substr(equals + 1);
  }
  options.slots = static_cast<std::uint32_t>(args.at("--slots").asLong());
  options.connections = static_cast<std::uint32_t>(args.at("--connections").asLong());
  options.work = MillisecondsOf(args.at("--work-ms"));
  options.cold_work = MillisecondsOf(args.at("--cold-work-ms"));
  options.cold_time = MillisecondsOf(args.at("--cold-time-ms"));
  if (args.at("--runs-file")) {
    options.runs_file = args.at("--runs-file").asString();
  }
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  const auto args = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  const BackendOptions options = OptionsFrom(args);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  auto context = std::make_shared<asio::io_context>(1);
  amaranthlatch::standins::BackendService service(*context, options);
  const amaranthlatch::standins::SimpleServer server(
      context, options.ip, options.port,
      [&service](const auto& request, const auto& respond) { service.Handle(request, respond); });
  amaranthlatch::standins::Announcer announcer(options);
  asio::signal_set signals(*context, SIGTERM, SIGINT);
  asio::steady_timer linger(*context);
  signals.async_wait([&](const std::error_code&, int) {
    announcer.Leave();
    linger.expires_after(kLingerTime);
    linger.async_wait(
        [&](const std::error_code&) { service.WhenIdle([&context] { context->stop(); }); });
  });
  context->run();
  return 0;
}
