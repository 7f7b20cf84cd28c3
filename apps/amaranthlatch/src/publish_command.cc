// The commands `publish` and `remove`.

#include <utility>

#include "amaranthlatch/acceptance/publish_record.h"
#include "amaranthlatch/acceptance/verdict_json.h"
#include "amaranthlatch/document/document_limits.h"
#include "amaranthlatch/document/document_parser.h"
#include "commands.h"
#include "confirmation.h"
#include "log_client.h"
#include "node_client.h"
#include "publisher.h"

namespace amaranthlatch::cli {

namespace {

using acceptance::Offset;
using acceptance::PublishRecord;
using acceptance::Verdict;
using nlohmann::json;
using utils::ErrorCode;

// Printed before the append, so that an interrupted command can be repeated.
void AnnouncePublishId(const Options& options, const Context& context,
                       const std::string& publish_id) {
  if (options.json) {
    context.out << json{{"publish_id", publish_id}}.dump() << std::endl;
  } else {
    context.out << "publish id " << publish_id << std::endl;
  }
}

std::string Describe(const Verdict& verdict) {
  const bool is_put = verdict.action == acceptance::Action::kPut;
  std::string text = is_put ? "accepted: " : "removed: ";
  text.append(verdict.service).append(is_put ? " version " : " at offset ");
  text.append(std::to_string(verdict.offset));
  if (verdict.replaced != 0) {
    text.append(", replaces version ").append(std::to_string(verdict.replaced));
  }
  return text;
}

void AddLagging(CommandResult& result, const std::vector<LaggingNode>& lagging, Offset offset) {
  result.value["lagging"] = json::array();
  for (const LaggingNode& node : lagging) {
    result.error_lines.push_back("lagging: " + node.address + " has offset " +
                                 std::to_string(node.in_force_offset) + " of " +
                                 std::to_string(offset) + " in force (" + node.reason + ")");
    result.value["lagging"].push_back({{"node", node.address},
                                       {"in_force_offset", node.in_force_offset},
                                       {"reason", node.reason}});
  }
  if (!lagging.empty()) {
    result.exit_code = kExitLagging;
  }
}

CommandResult RefusedResult(const Verdict& verdict) {
  CommandResult result =
      FailedResult(kExitRefused, {verdict.code, verdict.message, verdict.pointer});
  result.value["verdict"] = acceptance::ToJson(verdict);
  return result;
}

// The verdict could not be learned although the record is in the log.
CommandResult UnknownVerdict(const utils::Error& error, Offset offset) {
  CommandResult result =
      FailedResult(kExitUnknown, {ErrorCode::kPublishOutcomeUnknown,
                                  "appended at offset " + std::to_string(offset) +
                                      ", but the verdict is not known: " + utils::ToString(error),
                                  ""});
  result.value["offset"] = offset;
  return result;
}

CommandResult Confirm(const Options& options, const Context& context, LogClient& log,
                      const PublishRecord& record, Offset offset) {
  NodeClient nodes(context.http);
  Confirmation confirmation(log, nodes, context.host);
  std::vector<LaggingNode> lagging;
  if (options.wait > utils::Duration::zero()) {
    lagging = confirmation.AwaitNodes(options.nodes, offset, options.wait);
  }
  const auto verdict = confirmation.FindVerdict(options.nodes, record);
  if (!verdict) {
    return UnknownVerdict(verdict.error(), offset);
  }
  if (!confirmation.IsSameRecord(verdict->offset, record)) {
    return FailedResult(kExitRefused,
                        {ErrorCode::kDuplicatePublish,
                         "the publish id was used at offset " + std::to_string(verdict->offset) +
                             " for another record; nothing was changed",
                         ""});
  }
  if (verdict->outcome == acceptance::Outcome::kRefused) {
    return RefusedResult(*verdict);
  }
  CommandResult result;
  result.lines.push_back(Describe(*verdict));
  result.value["verdict"] = acceptance::ToJson(*verdict);
  AddLagging(result, lagging, offset);
  return result;
}

CommandResult Append(const Options& options, const Context& context, PublishRecord record) {
  record.publish_id = options.publish_id.empty() ? context.host.NewPublishId() : options.publish_id;
  record.base_version = options.base;
  record.author = options.author;
  record.published_at = context.host.WallTime();
  // Found here rather than in the log, where it would be one more refused record.
  if (const auto parsed = acceptance::ParsePublishRecord(acceptance::ToJson(record)); !parsed) {
    return FailedResult(kExitRefused, parsed.error());
  }
  AnnouncePublishId(options, context, record.publish_id);
  LogClient log(context.http, options.log);
  const auto offset = Publisher(log, context.host).Publish(record);
  if (!offset) {
    CommandResult result = FailedResult(
        offset.error().may_be_written ? kExitUnknown : kExitUnreachable, offset.error().error);
    result.value["publish_id"] = record.publish_id;
    return result;
  }
  CommandResult result = Confirm(options, context, log, record, *offset);
  result.value["publish_id"] = record.publish_id;
  return result;
}

}  // namespace

CommandResult Publish(const Options& options, const Context& context) {
  const auto text = context.host.ReadFile(options.files.front(), document::kMaxDocumentBytes);
  if (!text) {
    return FailedResult(kExitRefused, text.error());
  }
  const auto document = document::ParseDocument(*text);
  if (!document) {
    return FailedResult(kExitRefused, document.error());
  }
  PublishRecord record;
  record.service = document->service;
  record.action = acceptance::Action::kPut;
  record.document = json::parse(*text);
  return Append(options, context, std::move(record));
}

CommandResult Remove(const Options& options, const Context& context) {
  PublishRecord record;
  record.service = options.service;
  record.action = acceptance::Action::kRemove;
  return Append(options, context, std::move(record));
}

}  // namespace amaranthlatch::cli
