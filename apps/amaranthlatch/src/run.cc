// Entry of the command line.

#include "run.h"

#include "command_line.h"
#include "commands.h"

namespace amaranthlatch::cli {

namespace {

CommandResult RunCommand(const Options& options, const Context& context) {
  switch (options.command) {
    case Command::kValidate:
      return Validate(options, context);
    case Command::kCheck:
      return Check(options, context);
    case Command::kPublish:
      return Publish(options, context);
    case Command::kRemove:
      return Remove(options, context);
    case Command::kStatus:
      return ShowStatus(options, context);
    case Command::kHistory:
      return ShowHistory(options, context);
    case Command::kDrain:
      return Drain(options, context);
    case Command::kHelp:
      break;
  }
  return CommandResult{kExitOk, {std::string(UsageText())}, {}, {}};
}

}  // namespace

int Run(const std::vector<std::string>& arguments, HttpClient& http, Host& host, std::ostream& out,
        std::ostream& errors) {
  const auto options = ParseCommandLine(arguments);
  if (!options) {
    errors << utils::ToString(options.error()) << "\n" << UsageText();
    return kExitUsage;
  }
  const CommandResult result = RunCommand(*options, Context{http, host, out});
  if (options->json) {
    out << result.value.dump() << "\n";
    return result.exit_code;
  }
  for (const std::string& line : result.lines) {
    out << line << "\n";
  }
  for (const std::string& line : result.error_lines) {
    errors << line << "\n";
  }
  return result.exit_code;
}

}  // namespace amaranthlatch::cli
