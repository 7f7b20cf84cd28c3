// Results of commands.

#include "command_result.h"

namespace amaranthlatch::cli {

nlohmann::json ErrorToJson(const utils::Error& error) {
  return {{"code", utils::ToNumber(error.code)},
          {"name", utils::ToString(error.code)},
          {"pointer", error.pointer},
          {"message", error.message}};
}

CommandResult FailedResult(int exit_code, const utils::Error& error) {
  return CommandResult{exit_code, {}, {utils::ToString(error)}, {{"error", ErrorToJson(error)}}};
}

}  // namespace amaranthlatch::cli
