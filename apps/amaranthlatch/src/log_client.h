// The platform's log over HTTP, as in section 4 of docs/design.md.

#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "amaranthlatch/acceptance/record.h"
#include "amaranthlatch/utils/result.h"
#include "http_client.h"

namespace amaranthlatch::cli {

inline constexpr std::string_view kConfigStream = "config";
inline constexpr std::string_view kSnapshotStream = "snapshots";

struct LogRecord {
  acceptance::Offset offset = 0;
  nlohmann::json value;
};

struct LogPage {
  acceptance::Offset first_kept = 0;
  acceptance::Offset head = 0;
  acceptance::Offset next = 0;
  std::vector<LogRecord> records;
};

struct ReadFailure {
  utils::Error error;
  // The first offset that can be read; set for kLogTruncated.
  acceptance::Offset first_kept = 0;
};

struct AppendFailure {
  utils::Error error;
  bool may_be_written = true;
  // Whether the same append can succeed later.
  bool can_be_repeated = true;
};

class LogClient {
 public:
  LogClient(HttpClient& http, std::string address);

  tl::expected<LogPage, ReadFailure> Read(std::string_view stream, acceptance::Offset from,
                                          std::size_t limit);

  // The first page from `from` on or, where it is not kept, from the first kept offset on.
  utils::Result<LogPage> ReadKept(std::string_view stream, acceptance::Offset from,
                                  std::size_t limit);

  tl::expected<acceptance::Offset, AppendFailure> Append(std::string_view stream,
                                                         const nlohmann::json& value);

 private:
  HttpClient& http;
  std::string address;

  std::string Url(std::string_view stream) const;
};

}  // namespace amaranthlatch::cli
