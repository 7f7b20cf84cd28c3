// The commands `history` and `drain`.

#include <optional>
#include <utility>

#include "amaranthlatch/acceptance/publish_record.h"
#include "amaranthlatch/acceptance/verdict_json.h"
#include "amaranthlatch/document/document_parser.h"
#include "amaranthlatch/document/json_guard.h"
#include "commands.h"
#include "log_client.h"
#include "log_fold.h"
#include "node_client.h"

namespace amaranthlatch::cli {

namespace {

using acceptance::Verdict;
using nlohmann::json;
using History = std::vector<Verdict>;

std::string Describe(const Verdict& verdict) {
  std::string line = std::to_string(verdict.offset) + " " + verdict.published_at;
  line.append(" ").append(acceptance::ToString(verdict.action));
  line.append(" ").append(acceptance::ToString(verdict.outcome));
  line.append(" by ").append(verdict.author);
  line.append(", publish id ").append(verdict.publish_id);
  if (verdict.outcome == acceptance::Outcome::kRefused) {
    line.append(": ").append(
        utils::ToString(utils::Error{verdict.code, verdict.message, verdict.pointer}));
  }
  return line;
}

utils::Result<History> FindHistory(const Options& options, const Context& context) {
  NodeClient nodes(context.http);
  std::optional<utils::Error> last_error;
  for (const std::string& address : options.nodes) {
    auto history = nodes.Audit(address, options.service);
    if (history) {
      return history;
    }
    last_error = history.error();
  }
  if (options.log.empty()) {
    return tl::unexpected(*last_error);
  }
  LogClient log(context.http, options.log);
  return FoldLog(log).map(
      [&options](const acceptance::State& state) { return state.History(options.service); });
}

}  // namespace

CommandResult ShowHistory(const Options& options, const Context& context) {
  if (!document::IsName(options.service)) {
    return FailedResult(kExitUsage, {utils::ErrorCode::kUsage,
                                     document::Quote(options.service) + " is no service name", ""});
  }
  const auto history = FindHistory(options, context);
  if (!history) {
    return FailedResult(kExitUnreachable, history.error());
  }
  CommandResult result;
  result.value["verdicts"] = json::array();
  for (const Verdict& verdict : *history) {
    result.lines.push_back(Describe(verdict));
    result.value["verdicts"].push_back(acceptance::ToJson(verdict));
  }
  if (history->empty()) {
    result = FailedResult(kExitRefused, {utils::ErrorCode::kServiceUnknown,
                                         "no verdict is known for service " + options.service, ""});
  }
  return result;
}

CommandResult Drain(const Options& options, const Context& context) {
  NodeClient nodes(context.http);
  CommandResult result;
  result.value["nodes"] = json::array();
  for (const std::string& address : options.nodes) {
    const auto answer = nodes.Drain(address);
    json item = {{"node", address}, {"draining", answer.has_value()}};
    if (answer) {
      result.lines.push_back(address + ": draining");
    } else {
      result.exit_code = kExitUnreachable;
      result.error_lines.push_back(utils::ToString(answer.error()));
      item["error"] = ErrorToJson(answer.error());
    }
    result.value["nodes"].push_back(std::move(item));
  }
  return result;
}

}  // namespace amaranthlatch::cli
