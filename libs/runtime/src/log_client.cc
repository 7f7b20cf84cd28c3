// Requests to the log and strict decoding of its answers.

#include "amaranthlatch/runtime/log_client.h"

#include <optional>
#include <utility>
#include <vector>

#include "amaranthlatch/document/json_guard.h"

namespace amaranthlatch::runtime {

namespace {

using distribution::Offset;
using utils::ErrorCode;

// Bounds the memory of one answer. A read whose answer is larger is repeated for half as many
// records; a single record with the largest document fits.
constexpr std::uint64_t kMaxAnswerBytes = std::uint64_t{4} << 20U;
// Above the log's own wait, for an answer of a slow log.
constexpr utils::Duration kAnswerTime = utils::Seconds(5);
// A publish record nests its document at most this deep.
constexpr std::size_t kMaxRecordDepth = 64;

constexpr int kStatusOk = 200;
constexpr int kStatusCreated = 201;
constexpr int kStatusGone = 410;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusServerError = 500;

std::string PathOf(distribution::Stream stream) {
  return stream == distribution::Stream::kConfig ? "/streams/config/records"
                                                 : "/streams/snapshots/records";
}

utils::Error Unavailable(std::string text) {
  return {ErrorCode::kLogUnavailable, std::move(text), {}};
}

utils::Error Malformed(std::string text) { return {ErrorCode::kLogMalformed, std::move(text), {}}; }

utils::Error StatusError(int status) {
  std::string text = "the log answered with status " + std::to_string(status);
  const bool later = status >= kStatusServerError || status == kStatusTooManyRequests;
  return later ? Unavailable(std::move(text)) : Malformed(std::move(text));
}

std::optional<Offset> OffsetIn(const nlohmann::json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number_unsigned()) {
    return std::nullopt;
  }
  return found->get<Offset>();
}

// An empty object where the text is not one.
nlohmann::json ParseObject(const std::string& text) {
  nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
  if (!value.is_object()) {
    return nlohmann::json::object();
  }
  // Never copied: the JSON library copies nested values by recursion.
  return value;
}

// Records in ascending order from `from` on; empty if the list has another shape.
std::optional<std::vector<distribution::LogRecord>> RecordsIn(nlohmann::json& object, Offset from) {
  const auto found = object.find("records");
  if (found == object.end() || !found->is_array()) {
    return std::nullopt;
  }
  std::vector<distribution::LogRecord> records;
  Offset lowest = from;
  for (nlohmann::json& item : *found) {
    const auto offset = item.is_object() ? OffsetIn(item, "offset") : std::nullopt;
    if (!offset || *offset < lowest || !item.contains("value")) {
      return std::nullopt;
    }
    lowest = *offset + 1;
    nlohmann::json& value = item["value"];
    // Every node replaces such a value in the same manner, and acceptance refuses it: anyone can
    // append to the log, and a record must not stop those that follow it.
    const bool usable = document::IsDepthWithin(value, kMaxRecordDepth);
    records.push_back({*offset, usable ? std::move(value) : nlohmann::json()});
  }
  return records;
}

std::optional<distribution::LogRead> DecodeRecords(const distribution::ReadLog& read,
                                                   const std::string& body) {
  nlohmann::json object = ParseObject(body);
  const auto first_kept = OffsetIn(object, "first_kept");
  const auto head = OffsetIn(object, "head");
  const auto next = OffsetIn(object, "next");
  auto records = RecordsIn(object, read.from);
  if (!first_kept || !head || !next || !records || records->size() > read.limit) {
    return std::nullopt;
  }
  const Offset after_last = records->empty() ? read.from : records->back().offset + 1;
  const bool consistent = *next >= after_last && *next <= *head + 1;
  const bool at_head = records->empty() && *next <= read.from;
  if (!consistent && !at_head) {
    return std::nullopt;
  }
  return distribution::LogRead{read.request, read.stream, *first_kept,
                               *head,        *next,       std::move(*records)};
}

}  // namespace

LogClient::Event DecodeLogRead(const distribution::ReadLog& read,
                               const calls::HttpResponse& response) {
  distribution::LogReadFailed failed{read.request, read.stream, {}, std::nullopt};
  if (response.status == kStatusOk) {
    if (auto records = DecodeRecords(read, response.body)) {
      return std::move(*records);
    }
    failed.error = Malformed("the log's answer to a read has another shape");
    return failed;
  }
  if (response.status != kStatusGone) {
    failed.error = StatusError(response.status);
    return failed;
  }
  failed.first_kept = OffsetIn(ParseObject(response.body), "first_kept");
  failed.error = failed.first_kept
                     ? utils::Error{ErrorCode::kLogTruncated, "the offset is not kept", {}}
                     : Malformed("the log names no first kept offset");
  return failed;
}

LogClient::Event DecodeLogAppend(std::uint64_t request, const calls::HttpResponse& response) {
  if (response.status != kStatusCreated) {
    return distribution::LogAppendFailed{request, StatusError(response.status)};
  }
  const auto offset = OffsetIn(ParseObject(response.body), "offset");
  if (!offset) {
    return distribution::LogAppendFailed{request, Malformed("the log names no offset")};
  }
  return distribution::LogAppendDone{request, *offset};
}

LogClient::LogClient(HttpClient& client, std::string address, Report report)
    : client(client), address(std::move(address)), report(std::move(report)) {}

void LogClient::Read(const distribution::ReadLog& read) {
  HttpExchange exchange;
  exchange.address = this->address;
  exchange.request.method = "GET";
  exchange.request.target = PathOf(read.stream) + "?from=" + std::to_string(read.from) +
                            "&limit=" + std::to_string(read.limit) +
                            "&wait_ms=" + std::to_string(utils::ToMilliseconds(read.wait));
  exchange.time_limit = read.wait + kAnswerTime;
  exchange.max_response_bytes = kMaxAnswerBytes;
  exchange.repeatable = true;
  this->client.Start(++this->last_exchange, std::move(exchange),
                     [this, read](const HttpOutcome& outcome) { this->OnRead(read, outcome); });
}

void LogClient::OnRead(const distribution::ReadLog& read, const HttpOutcome& outcome) {
  if (outcome) {
    this->report(DecodeLogRead(read, *outcome));
    return;
  }
  if (outcome.error().failure == calls::BackendFailure::kTooLarge && read.limit > 1) {
    distribution::ReadLog smaller = read;
    smaller.limit = read.limit / 2;
    this->Read(smaller);
    return;
  }
  this->report(distribution::LogReadFailed{read.request, read.stream,
                                           Unavailable(outcome.error().detail), std::nullopt});
}

void LogClient::Append(const distribution::AppendLog& append) {
  HttpExchange exchange;
  exchange.address = this->address;
  exchange.request.method = "POST";
  exchange.request.target = PathOf(append.stream);
  exchange.request.headers = {{"content-type", "application/json"}};
  exchange.request.body = append.value.dump();
  exchange.time_limit = kAnswerTime;
  exchange.max_response_bytes = kMaxAnswerBytes;
  this->client.Start(++this->last_exchange, std::move(exchange),
                     [this, request = append.request](const HttpOutcome& outcome) {
                       this->report(outcome ? DecodeLogAppend(request, *outcome)
                                            : distribution::LogAppendFailed{
                                                  request, Unavailable(outcome.error().detail)});
                     });
}

}  // namespace amaranthlatch::runtime
