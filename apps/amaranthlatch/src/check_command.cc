// The command `check`.

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "amaranthlatch/check/difference.h"
#include "amaranthlatch/check/findings.h"
#include "amaranthlatch/document/document_limits.h"
#include "amaranthlatch/document/document_parser.h"
#include "amaranthlatch/document/json_guard.h"
#include "commands.h"
#include "node_client.h"
#include "platform/configuration_check.h"

namespace amaranthlatch::cli {

namespace {

using nlohmann::json;
using utils::ErrorCode;

// Tables of the largest meshes have a few MB.
constexpr std::size_t kMaxTableBytes = 64ULL * 1024 * 1024;

enum class Form : std::uint8_t { kDocument, kTable };

struct Input {
  Form form = Form::kDocument;
  check::Configuration configuration;
  // Of a document.
  std::string service;
};

Input MakeInput(const document::ServiceDocument& document) {
  return {Form::kDocument, check::Describe(document), document.service};
}

// Whether text that is neither form was meant as a document.
bool IsMeantAsDocument(std::string_view text) {
  if (text.size() > document::kMaxDocumentBytes) {
    return false;
  }
  const auto value = document::ParseJsonText(text);
  return !value || !value->is_object() || value->contains("format") || value->contains("service");
}

utils::Result<Input> ReadInput(std::string_view text) {
  if (text.size() > kMaxTableBytes) {
    return utils::Fail(ErrorCode::kDocumentTooLarge, "the file is larger than 64 MiB");
  }
  if (const auto checked = document::CheckJsonText(text); !checked) {
    return tl::unexpected(checked.error());
  }
  auto table = platform::ReadForCheck(text);
  if (table) {
    return Input{Form::kTable, *std::move(table), ""};
  }
  const auto document = document::ParseDocument(text);
  if (document) {
    return MakeInput(*document);
  }
  return tl::unexpected(IsMeantAsDocument(text) ? document.error() : table.error());
}

utils::Result<Input> ReadInputFile(const std::string& path, const Host& host) {
  const auto text = host.ReadFile(path, kMaxTableBytes);
  if (!text) {
    return tl::unexpected(text.error());
  }
  return ReadInput(*text);
}

// The document that the node has in force; without content if it has none.
utils::Result<Input> ReadInForce(const std::string& address, const Input& input, HttpClient& http) {
  if (input.form != Form::kDocument) {
    return utils::Fail(ErrorCode::kUsage, "nodes show no tables; use --against with a file");
  }
  const auto source = NodeClient(http).Document(address, input.service);
  if (!source) {
    return tl::unexpected(source.error());
  }
  if (source->is_null()) {
    return Input{};
  }
  const auto document = document::FromJson(*source);
  if (!document) {
    return tl::unexpected(document.error());
  }
  return MakeInput(*document);
}

// The earlier version; nothing if none is asked for.
utils::Result<std::optional<Input>> ReadEarlier(const Options& options, const Input& input,
                                                const Context& context) {
  if (options.against.empty() && options.in_force.empty()) {
    return std::optional<Input>();
  }
  auto earlier = options.in_force.empty() ? ReadInputFile(options.against, context.host)
                                          : ReadInForce(options.in_force, input, context.http);
  if (!earlier) {
    return tl::unexpected(earlier.error());
  }
  if (earlier->form != input.form) {
    return utils::Fail(ErrorCode::kUsage, "one file is a document, the other a table");
  }
  return std::optional<Input>(*std::move(earlier));
}

json ToJson(const check::Difference& difference) {
  return {{"change", check::ToString(difference.change)},
          {"item", difference.item},
          {"pointer", difference.pointer},
          {"field", difference.field},
          {"before", difference.before},
          {"after", difference.after},
          {"effect", difference.effect}};
}

std::string ToLine(const check::Difference& difference) {
  std::string line = difference.item + " ";
  line.append(check::ToString(difference.change));
  if (!difference.field.empty()) {
    line.append(": ").append(difference.field).append(" from ").append(difference.before);
    line.append(" to ").append(difference.after);
  }
  return line.append("; effect: ").append(difference.effect);
}

CommandResult Failure(const std::string& path, const utils::Error& error) {
  CommandResult result;
  const bool is_unreachable =
      error.code == ErrorCode::kNodeUnreachable || error.code == ErrorCode::kHttpFailed;
  result.exit_code = is_unreachable ? kExitUnreachable : kExitErrors;
  result.error_lines.push_back(path + ": " + utils::ToString(error));
  result.value = {{"file", path},
                  {"errors", {ErrorToJson(error)}},
                  {"warnings", json::array()},
                  {"differences", json::array()}};
  return result;
}

}  // namespace

CommandResult Check(const Options& options, const Context& context) {
  const std::string& path = options.files.front();
  const auto input = ReadInputFile(path, context.host);
  if (!input) {
    return Failure(path, input.error());
  }
  const auto earlier = ReadEarlier(options, *input, context);
  if (!earlier) {
    return Failure(options.in_force.empty() ? options.against : options.in_force, earlier.error());
  }
  CommandResult result;
  result.value = {{"file", path},
                  {"errors", json::array()},
                  {"warnings", json::array()},
                  {"differences", json::array()}};
  for (const utils::Error& warning : check::FindWarnings(input->configuration)) {
    result.exit_code = kExitWarnings;
    result.lines.push_back(path + ": warning " + utils::ToString(warning));
    result.value["warnings"].push_back(ErrorToJson(warning));
  }
  if (*earlier) {
    for (const auto& difference : check::Compare((*earlier)->configuration, input->configuration)) {
      result.lines.push_back(path + ": " + ToLine(difference));
      result.value["differences"].push_back(ToJson(difference));
    }
  }
  if (result.lines.empty()) {
    result.lines.push_back(path + ": clean");
  }
  return result;
}

}  // namespace amaranthlatch::cli
