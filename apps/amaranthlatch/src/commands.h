// The commands of the command line.

#pragma once

#include <ostream>

#include "command_line.h"
#include "command_result.h"
#include "host.h"
#include "http_client.h"

namespace amaranthlatch::cli {

// What commands act with.
struct Context {
  HttpClient& http;
  Host& host;
  // For what must be seen before the command ends.
  std::ostream& out;
};

// Parses the files; with --log also checks them, in the order given, against what is in force.
CommandResult Validate(const Options& options, const Context& context);
// Reports errors and warnings of a service document or of a mesh's table, and its differences from
// an earlier version.
CommandResult Check(const Options& options, const Context& context);
CommandResult Publish(const Options& options, const Context& context);
CommandResult Remove(const Options& options, const Context& context);
// What is in force on each node, and which nodes are behind the log or the most advanced node.
CommandResult ShowStatus(const Options& options, const Context& context);
// Verdicts from the first node that answers, or folded from the log.
CommandResult ShowHistory(const Options& options, const Context& context);
CommandResult Drain(const Options& options, const Context& context);

}  // namespace amaranthlatch::cli
