// Appends a publish record so that it takes effect once, also where the log's answers are lost.

#pragma once

#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "amaranthlatch/acceptance/publish_record.h"
#include "amaranthlatch/utils/result.h"
#include "host.h"
#include "log_client.h"

namespace amaranthlatch::cli {

struct PublishFailure {
  utils::Error error;
  // True where the record may be in the log: the caller repeats with the same publish id only.
  bool may_be_written = false;
};

class Publisher {
 public:
  Publisher(LogClient& log, Host& host) : log(log), host(host) {}

  // The offset of a record with this publish id. After an answer that leaves the outcome open it
  // reads the log from the head seen before for the publish id, and appends again only the same
  // record: acceptance takes the first of them and repeats its verdict for the others.
  tl::expected<acceptance::Offset, PublishFailure> Publish(const acceptance::PublishRecord& record);

 private:
  LogClient& log;
  Host& host;

  // The offset of the first record above `after` with the publish id, if any.
  utils::Result<std::optional<acceptance::Offset>> FindRecord(acceptance::Offset after,
                                                              const std::string& publish_id);
};

}  // namespace amaranthlatch::cli
