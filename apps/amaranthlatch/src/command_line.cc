// Reading of the arguments with docopt.

#include "command_line.h"

#include <docopt/docopt.h>

#include <charconv>
#include <map>
#include <optional>
#include <utility>

namespace amaranthlatch::cli {

namespace {

using utils::ErrorCode;
using Arguments = std::map<std::string, docopt::value>;

constexpr std::string_view kUsage =
    R"(Publishes service documents to the platform's log and shows what is in force.

Usage:
  amaranthlatch validate [--log=ADDRESS] [--json] FILE...
  amaranthlatch check [--against=EARLIER | --in-force=ADDRESS] [--json] FILE
  amaranthlatch publish --log=ADDRESS --author=NAME [--base=VERSION] [--publish-id=ID]
                        [--node=ADDRESS]... [--wait=MS] [--json] FILE
  amaranthlatch remove --log=ADDRESS --author=NAME --base=VERSION [--publish-id=ID]
                       [--node=ADDRESS]... [--wait=MS] [--json] SERVICE
  amaranthlatch status (--node=ADDRESS)... [--log=ADDRESS] [--json] [SERVICE]
  amaranthlatch history [--node=ADDRESS]... [--log=ADDRESS] [--json] SERVICE
  amaranthlatch drain (--node=ADDRESS)... [--json]
  amaranthlatch (-h | --help)

Options:
  --log=ADDRESS     Address of the platform's log, for example 127.0.0.1:7000.
  --node=ADDRESS    Admin address of a node; may be given several times.
  --against=EARLIER  File with the version that the differences are shown from.
  --in-force=ADDRESS  Admin address of a node that has the version in force.
  --author=NAME     Who publishes; kept in the audit history.
  --base=VERSION    Version in force that the change is based on; absent for a new service.
  --publish-id=ID   Repeats an earlier attempt whose outcome is unknown.
  --wait=MS         Waits so long until all nodes have the change in force [default: 0].
  --json            One JSON value per line instead of text.
  -h --help         Shows this text.

Exit codes:
  0 ok, 1 refused, 2 usage, 3 unreachable, 4 unknown outcome, 5 lagging nodes.
  Of check: 0 clean, 1 warnings, 2 errors or usage, 3 unreachable.
)";

// A day: longer waits are mistakes in the unit.
constexpr std::uint64_t kMaxWaitMs = 24ULL * 60 * 60 * 1000;

utils::Result<std::uint64_t> ReadNumber(const Arguments& arguments, const char* name,
                                        std::uint64_t max) {
  const docopt::value& value = arguments.at(name);
  if (!value.isString()) {
    return std::uint64_t{0};
  }
  const std::string& text = value.asString();
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (text.empty() || result.ec != std::errc() || result.ptr != end || number > max) {
    return utils::Fail(ErrorCode::kUsage,
                       std::string(name) + " must be a whole number up to " + std::to_string(max));
  }
  return number;
}

std::string ReadText(const Arguments& arguments, const char* name) {
  const docopt::value& value = arguments.at(name);
  return value.isString() ? value.asString() : std::string();
}

std::vector<std::string> ReadList(const Arguments& arguments, const char* name) {
  const docopt::value& value = arguments.at(name);
  return value.isStringList() ? value.asStringList() : std::vector<std::string>();
}

Command ReadCommand(const Arguments& arguments) {
  static constexpr std::pair<const char*, Command> kCommands[] = {
      {"validate", Command::kValidate}, {"check", Command::kCheck},
      {"publish", Command::kPublish},   {"remove", Command::kRemove},
      {"status", Command::kStatus},     {"history", Command::kHistory},
      {"drain", Command::kDrain},
  };
  for (const auto& [name, command] : kCommands) {
    if (arguments.at(name).asBool()) {
      return command;
    }
  }
  return Command::kHelp;
}

utils::Result<Options> ReadOptions(const Arguments& arguments) {
  Options options;
  options.command = ReadCommand(arguments);
  options.files = ReadList(arguments, "FILE");
  options.service = ReadText(arguments, "SERVICE");
  options.log = ReadText(arguments, "--log");
  options.nodes = ReadList(arguments, "--node");
  options.against = ReadText(arguments, "--against");
  options.in_force = ReadText(arguments, "--in-force");
  options.publish_id = ReadText(arguments, "--publish-id");
  options.author = ReadText(arguments, "--author");
  options.json = arguments.at("--json").asBool();
  const auto base = ReadNumber(arguments, "--base", UINT64_MAX);
  const auto wait = ReadNumber(arguments, "--wait", kMaxWaitMs);
  if (!base || !wait) {
    return tl::unexpected(base ? wait.error() : base.error());
  }
  options.base = *base;
  options.wait = utils::Milliseconds(static_cast<std::int64_t>(*wait));
  if (options.command == Command::kHistory && options.nodes.empty() && options.log.empty()) {
    return utils::Fail(ErrorCode::kUsage, "history needs --node or --log");
  }
  return options;
}

}  // namespace

std::string_view UsageText() { return kUsage; }

utils::Result<Options> ParseCommandLine(const std::vector<std::string>& arguments) {
  constexpr bool kShowHelp = true;
  constexpr bool kHasVersion = false;
  try {
    return ReadOptions(
        docopt::docopt_parse(std::string(kUsage), arguments, kShowHelp, kHasVersion));
  } catch (const docopt::DocoptExitHelp&) {
    return Options{};
  } catch (const docopt::DocoptArgumentError& error) {
    return utils::Fail(ErrorCode::kUsage, error.what());
  }
}

}  // namespace amaranthlatch::cli
