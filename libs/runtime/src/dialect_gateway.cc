// Requests in, answers out.

#include "dialect_gateway.h"

#include <algorithm>
#include <utility>

#include "amaranthlatch/runtime/log_line.h"

namespace amaranthlatch::runtime::details {

namespace {
// A node whose calls all fail writes no more than this; the rest is counted.
constexpr std::uint32_t kLinesPerSecond = 20;
}  // namespace

using calls::ResultKind;

DialectGateway::DialectGateway(const utils::Clock& clock, const CallerDialect& dialect,
                               Received received, Gone gone)
    : clock(clock), dialect(dialect), received(std::move(received)), gone(std::move(gone)) {}

void DialectGateway::OnRequest(std::uint64_t request, calls::HttpRequest content) {
  OpenCall call{this->clock.Now(), std::string(this->dialect.NameOf(content)), content.target};
  auto read = this->dialect.ReadCall(request, std::move(content));
  this->open.emplace(request, std::move(call));
  if (read) {
    this->received(*read);
    return;
  }
  calls::Answer refusal;
  refusal.kind = ResultKind::kNotRun;
  refusal.code = read.error().code;
  refusal.message = read.error().message;
  this->Answer({request, std::move(refusal)});
}

void DialectGateway::OnCallerGone(std::uint64_t request) {
  if (this->open.contains(request)) {
    this->gone(calls::CallerGone{request});
  }
}

void DialectGateway::Answer(calls::AnswerCaller effect) {
  const auto found = this->open.find(effect.call);
  if (found == this->open.end()) {
    return;
  }
  const OpenCall call = std::move(found->second);
  this->open.erase(found);
  if (effect.answer.kind != ResultKind::kAnswered) {
    this->LogFailure(call, effect.answer);
  }
  ServerResponse response;
  response.kind = effect.answer.kind;
  response.code = effect.answer.code;
  response.response = this->dialect.WriteAnswer(std::move(effect.answer));
  this->CountTimes(call, response.response);
  this->server->Respond(effect.call, std::move(response));
}

void DialectGateway::CountTimes(const OpenCall& call, calls::HttpResponse& response) {
  const utils::Duration time = this->clock.Now() - call.begun;
  this->call_times.Add(time);
  const std::optional<utils::Duration> backend_time = calls::BackendTimeOf(response);
  if (backend_time && *backend_time <= time) {
    this->added_times.Add(time - *backend_time);
  }
  std::erase_if(response.headers,
                [](const auto& entry) { return entry.first == calls::kBackendTimeField; });
}

void DialectGateway::LogFailure(const OpenCall& call, const calls::Answer& answer) {
  const utils::Timestamp second =
      std::chrono::time_point_cast<std::chrono::seconds>(this->clock.Now());
  if (second != this->log_second) {
    this->log_second = second;
    this->logged = 0;
  }
  if (++this->logged > kLinesPerSecond) {
    ++this->lines_dropped;
    return;
  }
  LogLine("call-failed")
      .Add("request", call.name)
      .Add("target", call.target)
      .Add("result", ToString(answer.kind))
      .Add("code", utils::ToNumber(answer.code))
      .Add("name", utils::ToString(answer.code))
      .Add("after_ms",
           static_cast<std::uint64_t>(utils::ToMilliseconds(this->clock.Now() - call.begun)))
      .Info();
}

}  // namespace amaranthlatch::runtime::details
