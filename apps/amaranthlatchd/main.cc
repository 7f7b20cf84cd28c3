// The node daemon: arguments, signals and exit codes around runtime::Host.

#include <docopt/docopt.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <map>
#include <string>

#include "amaranthlatch/runtime/host.h"
#include "amaranthlatch/runtime/log_line.h"
#include "amaranthlatch/runtime/settings.h"

namespace {

namespace runtime = amaranthlatch::runtime;

constexpr const char* kUsage = R"(The node of the service mesh, beside one backend server.

Usage:
  amaranthlatchd --settings FILE [--check]
  amaranthlatchd --version
  amaranthlatchd --help

Options:
  --settings FILE  JSON settings, see docs/settings.md.
  --check          Read and check the settings, then exit.
  --version        Print the version.
  --help           Print this text.

SIGTERM and SIGINT begin a graceful shutdown, bounded by the longest deadline in force; a second
signal ends the process at once.

Exit codes: 0 drained or settings correct, 1 calls were cut off by the end of the drain or by a
second signal, 2 wrong arguments, 3 wrong settings, 4 an address cannot be used, 70 a promise was
about to be broken.
)";

enum class ExitCode : int { kOk = 0, kCutOff = 1, kUsage = 2, kSettings = 3, kAddress = 4 };

// Lines are written within a few milliseconds if anybody reads them.
constexpr amaranthlatch::utils::Duration kLogFlushLimit = amaranthlatch::utils::Milliseconds(100);

int ToInt(ExitCode code) { return static_cast<int>(code); }

int Fail(ExitCode code, const amaranthlatch::utils::Error& error) {
  std::cerr << "amaranthlatchd: " << amaranthlatch::utils::ToString(error) << "\n";
  return ToInt(code);
}

int Run(const runtime::Settings& settings) {
  runtime::SetUpLogging(settings.log_level);
  asio::io_context context(1);
  int exit_code = ToInt(ExitCode::kOk);
  auto host =
      runtime::Host::Create(context, settings, [&context, &exit_code](runtime::StopReason reason) {
        exit_code = static_cast<int>(reason);
        context.stop();
      });
  if (!host) {
    return Fail(ExitCode::kAddress, host.error());
  }
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const asio::error_code& error, int /*signal*/) {
    if (error) {
      return;
    }
    (*host)->BeginDrain();
    signals.async_wait([&](const asio::error_code& second_error, int /*signal*/) {
      if (!second_error) {
        exit_code = ToInt(ExitCode::kCutOff);
        context.stop();
      }
    });
  });
  (*host)->Start();
  context.run();
  runtime::FlushLog(kLogFlushLimit);
  return exit_code;
}

}  // namespace

int main(int argc, char** argv) {
  std::map<std::string, docopt::value> arguments;
  try {
    arguments = docopt::docopt_parse(kUsage, {argv + 1, argv + argc}, true, true);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return ToInt(ExitCode::kOk);
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << AMARANTHLATCH_VERSION << "\n";
    return ToInt(ExitCode::kOk);
  } catch (const std::exception& error) {
    std::cerr << kUsage;
    return ToInt(ExitCode::kUsage);
  }
  const auto settings = runtime::ReadSettingsFile(arguments["--settings"].asString());
  if (!settings) {
    return Fail(ExitCode::kSettings, settings.error());
  }
  if (arguments["--check"].asBool()) {
    return ToInt(ExitCode::kOk);
  }
  return Run(*settings);
}
