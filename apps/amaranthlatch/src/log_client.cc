// The platform's log over HTTP.

#include "log_client.h"

#include <utility>

#include "amaranthlatch/document/json_guard.h"

namespace amaranthlatch::cli {

namespace {

using acceptance::Offset;
using nlohmann::json;
using utils::Error;
using utils::ErrorCode;

constexpr utils::Duration kTimeout = utils::Seconds(5);

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kBadRequest = 400;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;

bool HasOffset(const json& value, const char* field) {
  const auto found = value.find(field);
  return found != value.end() && found->is_number_unsigned();
}

ReadFailure Malformed(const std::string& message) {
  return ReadFailure{Error{ErrorCode::kLogMalformed, message, ""}, 0};
}

tl::expected<LogPage, ReadFailure> ReadPage(const json& body) {
  if (!body.is_object() || !HasOffset(body, "first_kept") || !HasOffset(body, "head") ||
      !HasOffset(body, "next") || !body.contains("records") || !body["records"].is_array()) {
    return tl::unexpected(Malformed("the answer is not a page of records"));
  }
  LogPage page{
      body["first_kept"].get<Offset>(), body["head"].get<Offset>(), body["next"].get<Offset>(), {}};
  Offset last = 0;
  for (const json& record : body["records"]) {
    if (!record.is_object() || !HasOffset(record, "offset") || !record.contains("value") ||
        record["offset"] <= last) {
      return tl::unexpected(Malformed("a record is not of the known shape"));
    }
    last = record["offset"].get<Offset>();
    page.records.push_back({last, record["value"]});
  }
  if (page.next <= last) {
    return tl::unexpected(Malformed("the next offset does not follow the records"));
  }
  return page;
}

AppendFailure FailureOfStatus(int status) {
  const std::string message = "the log answered with HTTP status " + std::to_string(status);
  // Only these say that the record was not taken: a server error can follow the write.
  const bool is_refusal = status >= kBadRequest && status < kServerError;
  return AppendFailure{Error{ErrorCode::kLogUnavailable, message, ""}, !is_refusal,
                       !is_refusal || status == kTooManyRequests};
}

}  // namespace

LogClient::LogClient(HttpClient& http, std::string address)
    : http(http), address(std::move(address)) {}

std::string LogClient::Url(std::string_view stream) const {
  return "http://" + this->address + "/streams/" + std::string(stream) + "/records";
}

tl::expected<LogPage, ReadFailure> LogClient::Read(std::string_view stream, Offset from,
                                                   std::size_t limit) {
  std::string url = this->Url(stream) + "?from=" + std::to_string(from);
  url.append("&limit=").append(std::to_string(limit)).append("&wait_ms=0");
  const auto response = this->http.Send({"GET", url, "", kTimeout});
  if (!response) {
    return tl::unexpected(
        ReadFailure{Error{ErrorCode::kLogUnavailable, response.error().message, ""}, 0});
  }
  if (response->status != kOk && response->status != kGone) {
    const AppendFailure failure = FailureOfStatus(response->status);
    return tl::unexpected(ReadFailure{failure.error, 0});
  }
  const auto body = document::ParseJsonText(response->body);
  if (!body) {
    return tl::unexpected(Malformed(body.error().message));
  }
  if (response->status == kOk) {
    return ReadPage(*body);
  }
  if (!body->is_object() || !HasOffset(*body, "first_kept")) {
    return tl::unexpected(Malformed("the answer does not tell the first kept offset"));
  }
  const auto first_kept = (*body)["first_kept"].get<Offset>();
  return tl::unexpected(ReadFailure{
      Error{ErrorCode::kLogTruncated,
            "the log keeps records from offset " + std::to_string(first_kept) + " on", ""},
      first_kept});
}

utils::Result<LogPage> LogClient::ReadKept(std::string_view stream, Offset from,
                                           std::size_t limit) {
  // The first kept offset can move on between two requests.
  constexpr int kMaxAttempts = 5;
  for (int attempt = 1;; ++attempt) {
    auto page = this->Read(stream, from, limit);
    if (page) {
      return std::move(*page);
    }
    if (page.error().error.code != ErrorCode::kLogTruncated || attempt == kMaxAttempts) {
      return tl::unexpected(page.error().error);
    }
    from = page.error().first_kept;
  }
}

tl::expected<Offset, AppendFailure> LogClient::Append(std::string_view stream, const json& value) {
  const auto response = this->http.Send({"POST", this->Url(stream), value.dump(), kTimeout});
  if (!response) {
    return tl::unexpected(
        AppendFailure{Error{ErrorCode::kLogUnavailable, response.error().message, ""},
                      response.error().may_have_arrived, true});
  }
  if (response->status != kCreated) {
    return tl::unexpected(FailureOfStatus(response->status));
  }
  const auto body = document::ParseJsonText(response->body);
  if (!body || !body->is_object() || !HasOffset(*body, "offset")) {
    return tl::unexpected(AppendFailure{
        Error{ErrorCode::kLogMalformed, "the answer does not tell the offset", ""}, true, true});
  }
  return (*body)["offset"].get<Offset>();
}

}  // namespace amaranthlatch::cli
