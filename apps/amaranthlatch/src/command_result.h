// What a command gives back: an exit code and the same content as text and as JSON.

#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "amaranthlatch/utils/result.h"
#include "exit_code.h"

namespace amaranthlatch::cli {

struct CommandResult {
  int exit_code = kExitOk;
  // For standard output.
  std::vector<std::string> lines;
  // For standard error.
  std::vector<std::string> error_lines;
  // For --json.
  nlohmann::json value = nlohmann::json::object();
};

// `{"code","name","pointer","message"}`, as docs/result-codes.md says.
nlohmann::json ErrorToJson(const utils::Error& error);

// A result that is only an error.
CommandResult FailedResult(int exit_code, const utils::Error& error);

}  // namespace amaranthlatch::cli
