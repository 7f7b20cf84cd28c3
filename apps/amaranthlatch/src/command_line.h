// The arguments of the command line.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/utils/result.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::cli {

enum class Command : std::uint8_t {
  kHelp,
  kValidate,
  kCheck,
  kPublish,
  kRemove,
  kStatus,
  kHistory,
  kDrain,
};

struct Options {
  Command command = Command::kHelp;
  std::vector<std::string> files;
  // Empty where the command shows all services.
  std::string service;
  // "host:port"; empty without --log.
  std::string log;
  std::vector<std::string> nodes;
  // 0 for a service without a document.
  document::Version base = 0;
  // Empty means that one is generated.
  std::string publish_id;
  std::string author;
  // Time to wait for the nodes; zero does not wait.
  utils::Duration wait{};
  bool json = false;
  // Earlier version that `check` compares with: a file, or the admin address of a node; both empty
  // for no comparison.
  std::string against;
  std::string in_force;

  bool operator==(const Options&) const = default;
};

std::string_view UsageText();

// Fails with kUsage.
utils::Result<Options> ParseCommandLine(const std::vector<std::string>& arguments);

}  // namespace amaranthlatch::cli
