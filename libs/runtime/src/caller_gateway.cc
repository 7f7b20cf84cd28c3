// Fields and paths that the node itself understands.

#include "amaranthlatch/runtime/caller_gateway.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "amaranthlatch/document/json_guard.h"
#include "amaranthlatch/runtime/backend_server_link.h"
#include "amaranthlatch/runtime/http_headers.h"

namespace amaranthlatch::runtime {

namespace {

using calls::ResultKind;
using utils::ErrorCode;

constexpr std::string_view kPermitPath = "/amaranthlatch/permits";
constexpr std::string_view kPermitField = "amaranthlatch-permit";
constexpr std::string_view kDeadlineField = "amaranthlatch-deadline-ms";
// Far above every deadline; keeps the conversion to microseconds from overflowing.
constexpr std::int64_t kMaxDeadlineMs = 86'400'000;

// Fields that only this node may set on an answer.
constexpr std::array<std::string_view, 3> kOwnAnswerFields = {
    "amaranthlatch-result", "amaranthlatch-code", "amaranthlatch-no-retry"};

std::string TakeField(calls::Headers& headers, std::string_view name) {
  std::string value(FindField(headers, name));
  std::erase_if(headers, [name](const auto& field) { return field.first == name; });
  return value;
}

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (status != std::errc() || end != text.data() + text.size() || value < 0) {
    return std::nullopt;
  }
  return value;
}

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

// Text fields of a permit request; empty where the body has another shape.
std::optional<calls::PermitAsked> ParsePermitRequest(std::uint64_t request,
                                                     const std::string& body) {
  const auto object = document::ParseJsonText(body);
  if (!object || !object->is_object() || object->size() != 3) {
    return std::nullopt;
  }
  const auto text = [&object](const char* key) {
    const auto found = object->find(key);
    return found != object->end() && found->is_string() ? found->get<std::string>() : std::string();
  };
  calls::PermitAsked asked{request, text("host"), text("path"), text("method")};
  if (asked.host.empty() || asked.path.empty() || asked.method.empty()) {
    return std::nullopt;
  }
  return asked;
}

}  // namespace

CallerGateway::CallerGateway(const utils::Clock& clock, Report report)
    : clock(clock), report(std::move(report)) {}

void CallerGateway::OnRequest(std::uint64_t request, calls::HttpRequest content) {
  if (PathOf(content.target) == kPermitPath) {
    this->AskPermit(request, content);
    return;
  }
  calls::CallReceived call;
  call.call = request;
  call.permit = TakeField(content.headers, kPermitField);
  if (const std::string text = TakeField(content.headers, kDeadlineField); !text.empty()) {
    const auto deadline = ParseNumber(text);
    if (!deadline) {
      this->Refuse(request, "Amaranthlatch-Deadline-Ms is not a number");
      return;
    }
    call.remaining = utils::Milliseconds(std::min(*deadline, kMaxDeadlineMs));
  }
  call.request = std::move(content);
  this->begun[request] = this->clock.Now();
  this->report(std::move(call));
}

void CallerGateway::AskPermit(std::uint64_t request, const calls::HttpRequest& content) {
  const auto asked = ParsePermitRequest(request, content.body);
  if (content.method != "POST" || !asked) {
    this->Refuse(request, "expected POST with host, path and method");
    return;
  }
  this->report(*asked);
}

void CallerGateway::Refuse(std::uint64_t request, const std::string& text) {
  this->server->Respond(request,
                        MakeErrorResponse(ErrorCode::kBadRequest, ResultKind::kNotRun, text));
}

void CallerGateway::OnCallerGone(std::uint64_t request) {
  if (this->begun.contains(request)) {
    this->report(calls::CallerGone{request});
  }
}

void CallerGateway::Answer(calls::AnswerCaller effect) {
  calls::Answer& answer = effect.answer;
  ServerResponse response;
  if (answer.kind == ResultKind::kAnswered) {
    response.response = std::move(answer.response);
    response.code = answer.code;
    std::erase_if(response.response.headers, [](const auto& field) {
      return std::find(kOwnAnswerFields.begin(), kOwnAnswerFields.end(), field.first) !=
             kOwnAnswerFields.end();
    });
  } else {
    response = MakeErrorResponse(answer.code, answer.kind, answer.message);
  }
  response.no_retry = answer.no_retry;
  this->CountTimes(effect.call, response.response);
  this->server->Respond(effect.call, std::move(response));
}

void CallerGateway::CountTimes(std::uint64_t call, calls::HttpResponse& response) {
  const std::string backend_text = TakeField(response.headers, calls::kBackendTimeField);
  const auto found = this->begun.find(call);
  if (found == this->begun.end()) {
    return;
  }
  const utils::Duration time = this->clock.Now() - found->second;
  this->begun.erase(found);
  this->call_times.Add(time);
  const auto backend = ParseNumber(backend_text);
  // An answer that a permit repeats names the time of the first run, which may be longer.
  if (!backend_text.empty() && backend && utils::Duration(*backend) <= time) {
    this->added_times.Add(time - utils::Duration(*backend));
  }
}

void CallerGateway::AnswerPermit(const calls::AnswerPermit& answer) {
  if (answer.code != ErrorCode::kOk) {
    this->server->Respond(answer.request,
                          MakeErrorResponse(answer.code, ResultKind::kNotRun, "no permit given"));
    return;
  }
  const nlohmann::json body = {{"permit", answer.permit}, {"expires_in_ms", answer.expires_in_ms}};
  ServerResponse response;
  response.response = {200, {{"content-type", "application/json"}}, body.dump() + "\n"};
  this->server->Respond(answer.request, std::move(response));
}

}  // namespace amaranthlatch::runtime
