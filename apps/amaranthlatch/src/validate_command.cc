// The command `validate`.

#include "amaranthlatch/acceptance/publish_record.h"
#include "amaranthlatch/acceptance/state.h"
#include "amaranthlatch/document/document_limits.h"
#include "amaranthlatch/document/document_parser.h"
#include "amaranthlatch/document/json_guard.h"
#include "commands.h"
#include "log_client.h"
#include "log_fold.h"

namespace amaranthlatch::cli {

namespace {

using acceptance::State;
using nlohmann::json;

struct ParsedFile {
  document::ServiceDocument document;
  json source;
};

utils::Result<ParsedFile> ParseFile(const std::string& path, const Host& host) {
  const auto text = host.ReadFile(path, document::kMaxDocumentBytes);
  if (!text) {
    return tl::unexpected(text.error());
  }
  auto document = document::ParseDocument(*text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  return ParsedFile{std::move(*document), json::parse(*text)};
}

// What acceptance would say to the document now. Accepted documents stay in `state`, so that later
// files can refer to them.
std::optional<utils::Error> CheckAgainst(State& state, const ParsedFile& file) {
  const std::string& service = file.document.service;
  const acceptance::AcceptedDocument* current = state.FindAccepted(service);
  const acceptance::Offset offset = state.HeadOffset() + 1;
  const acceptance::PublishRecord record{"validate-" + std::to_string(offset),
                                         service,
                                         current == nullptr ? 0 : current->version,
                                         "validate",
                                         "-",
                                         acceptance::Action::kPut,
                                         file.source};
  const auto verdict = state.Apply(offset, acceptance::ToJson(record));
  if (!verdict) {
    return verdict.error();
  }
  if (verdict->outcome == acceptance::Outcome::kRefused) {
    return utils::Error{verdict->code, verdict->message, verdict->pointer};
  }
  return std::nullopt;
}

void AddFile(CommandResult& result, const std::string& path,
             const std::optional<utils::Error>& error) {
  json item = {{"file", path}, {"valid", !error.has_value()}};
  if (error) {
    result.exit_code = kExitRefused;
    result.error_lines.push_back(path + ": " + utils::ToString(*error));
    item["error"] = ErrorToJson(*error);
  } else {
    result.lines.push_back(path + ": valid");
  }
  result.value["files"].push_back(std::move(item));
}

}  // namespace

CommandResult Validate(const Options& options, const Context& context) {
  std::optional<State> state;
  if (!options.log.empty()) {
    LogClient log(context.http, options.log);
    auto folded = FoldLog(log);
    if (!folded) {
      return FailedResult(kExitUnreachable, folded.error());
    }
    state = std::move(*folded);
  }
  CommandResult result;
  result.value["files"] = json::array();
  for (const std::string& path : options.files) {
    const auto file = ParseFile(path, context.host);
    std::optional<utils::Error> error;
    if (!file) {
      error = file.error();
    } else if (state) {
      error = CheckAgainst(*state, *file);
    }
    AddFile(result, path, error);
  }
  return result;
}

}  // namespace amaranthlatch::cli
