// Appending of publish records.

#include "publisher.h"

#include <utility>

namespace amaranthlatch::cli {

namespace {

using acceptance::Offset;
using utils::Error;
using utils::ErrorCode;

constexpr int kMaxAppends = 5;
constexpr utils::Duration kFirstDelay = utils::Milliseconds(250);
constexpr std::size_t kPageRecords = 256;

bool HasPublishId(const nlohmann::json& value, const std::string& publish_id) {
  return value.is_object() && value.contains("publish_id") && value["publish_id"] == publish_id;
}

PublishFailure FailureOf(const Error& error, bool may_be_written) {
  if (!may_be_written) {
    return PublishFailure{error, false};
  }
  return PublishFailure{Error{ErrorCode::kPublishOutcomeUnknown,
                              error.message + "; repeat with the same publish id", ""},
                        true};
}

}  // namespace

utils::Result<std::optional<Offset>> Publisher::FindRecord(Offset after,
                                                           const std::string& publish_id) {
  Offset from = after + 1;
  for (;;) {
    const auto page = this->log.ReadKept(kConfigStream, from, kPageRecords);
    if (!page) {
      return tl::unexpected(page.error());
    }
    for (const LogRecord& record : page->records) {
      if (HasPublishId(record.value, publish_id)) {
        return std::optional(record.offset);
      }
    }
    if (page->records.empty() || page->next > page->head) {
      return std::optional<Offset>();
    }
    from = page->next;
  }
}

tl::expected<Offset, PublishFailure> Publisher::Publish(const acceptance::PublishRecord& record) {
  const auto before = this->log.ReadKept(kConfigStream, 1, 1);
  if (!before) {
    return tl::unexpected(FailureOf(before.error(), false));
  }
  const nlohmann::json value = acceptance::ToJson(record);
  bool may_be_written = false;
  utils::Duration delay = kFirstDelay;
  for (int append = 1;; ++append) {
    const auto offset = this->log.Append(kConfigStream, value);
    if (offset) {
      return *offset;
    }
    const AppendFailure& failure = offset.error();
    may_be_written = may_be_written || failure.may_be_written;
    this->host.Sleep(delay);
    delay *= 2;
    if (may_be_written) {
      const auto found = this->FindRecord(before->head, record.publish_id);
      if (found && found->has_value()) {
        return **found;
      }
    }
    if (append == kMaxAppends || !failure.can_be_repeated) {
      return tl::unexpected(FailureOf(failure.error, may_be_written));
    }
  }
}

}  // namespace amaranthlatch::cli
