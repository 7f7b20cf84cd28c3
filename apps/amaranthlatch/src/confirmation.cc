// Verdicts on appended records and their arrival at nodes.

#include "confirmation.h"

#include <algorithm>
#include <utility>

#include "log_fold.h"

namespace amaranthlatch::cli {

namespace {

using acceptance::Offset;
using acceptance::Verdict;
using utils::ErrorCode;

constexpr utils::Duration kPollInterval = utils::Milliseconds(200);

std::string ReasonOf(const NodeStatus& status) {
  if (status.stopped_at != 0) {
    return "stopped at offset " + std::to_string(status.stopped_at) +
           ", a record of an unknown format";
  }
  return status.ready ? "behind" : "not ready: " + status.reason;
}

}  // namespace

std::vector<LaggingNode> Confirmation::FindLagging(const std::vector<std::string>& addresses,
                                                   Offset offset) {
  std::vector<LaggingNode> lagging;
  for (const std::string& address : addresses) {
    const auto status = this->nodes.Status(address);
    if (!status) {
      lagging.push_back({address, 0, status.error().message});
    } else if (status->in_force_offset < offset) {
      lagging.push_back({address, status->in_force_offset, ReasonOf(*status)});
    }
  }
  return lagging;
}

std::vector<LaggingNode> Confirmation::AwaitNodes(const std::vector<std::string>& addresses,
                                                  Offset offset, utils::Duration wait) {
  const utils::Timestamp end = this->host.Now() + wait;
  for (;;) {
    auto lagging = this->FindLagging(addresses, offset);
    if (lagging.empty() || this->host.Now() >= end) {
      return lagging;
    }
    this->host.Sleep(kPollInterval);
  }
}

utils::Result<Verdict> Confirmation::FindVerdict(const std::vector<std::string>& addresses,
                                                 const acceptance::PublishRecord& record) {
  for (const std::string& address : addresses) {
    const auto history = this->nodes.Audit(address, record.service);
    if (!history) {
      continue;
    }
    const auto found = std::find_if(
        history->begin(), history->end(),
        [&record](const Verdict& verdict) { return verdict.publish_id == record.publish_id; });
    if (found != history->end()) {
      return *found;
    }
  }
  const auto state = FoldLog(this->log);
  if (!state) {
    return tl::unexpected(state.error());
  }
  const auto verdict = state->FindVerdictByPublishId(record.publish_id);
  if (!verdict) {
    return utils::Fail(ErrorCode::kPublishOutcomeUnknown, "the log gives no verdict");
  }
  return *verdict;
}

bool Confirmation::IsSameRecord(Offset offset, const acceptance::PublishRecord& record) {
  const auto page = this->log.Read(kConfigStream, offset, 1);
  if (!page || page->records.empty() || page->records.front().offset != offset) {
    return true;
  }
  auto first = acceptance::ParsePublishRecord(page->records.front().value);
  if (!first) {
    return true;
  }
  first->published_at = record.published_at;
  return *first == record;
}

}  // namespace amaranthlatch::cli
