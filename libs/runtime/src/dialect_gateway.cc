// Requests in, answers out.

#include "dialect_gateway.h"

#include <algorithm>
#include <utility>

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::runtime::details {

namespace {
std::uint64_t MillisecondsSince(utils::Timestamp since, utils::Timestamp now) {
  return static_cast<std::uint64_t>(utils::ToMilliseconds(now - since));
}
}  // namespace

using calls::ResultKind;

LogLine DescribeFailure(const OpenCall& call, const calls::Answer& answer,
                        const ConfigurationView& configuration, utils::Timestamp now) {
  LogLine line("call-failed");
  line.Add("request", call.name)
      .Add("host", call.host)
      .Add("target", call.target)
      .Add("result", ToString(answer.kind))
      .Add("code", utils::ToNumber(answer.code))
      .Add("name", utils::ToString(answer.code))
      .Add("after_ms", MillisecondsSince(call.begun, now))
      .Add("version", call.configuration.version);
  if (call.configuration.version != 0) {
    line.Add("in_force_ms", MillisecondsSince(call.configuration.in_force_since, call.begun));
  }
  if (call.configuration.confirmed_at) {
    line.Add("confirmed_ms", MillisecondsSince(*call.configuration.confirmed_at, call.begun));
  }
  if (answer.code == utils::ErrorCode::kNoRoute) {
    line.Add("host_known", configuration.HasHost(call.host) ? "true" : "false");
  }
  if (answer.code == utils::ErrorCode::kKeyUnknown && call.key_hash) {
    line.Add("key_hash", *call.key_hash);
  }
  return line;
}

DialectGateway::DialectGateway(const utils::Clock& clock, const CallerDialect& dialect,
                               const ConfigurationView& configuration, Received received, Gone gone)
    : clock(clock),
      dialect(dialect),
      configuration(configuration),
      received(std::move(received)),
      gone(std::move(gone)) {}

void DialectGateway::OnRequest(std::uint64_t request, calls::HttpRequest content) {
  OpenCall call{this->clock.Now(), std::string(this->dialect.NameOf(content)), content.host,
                content.target, this->configuration.Status()};
  auto read = this->dialect.ReadCall(request, std::move(content));
  if (read && !read->key.empty()) {
    // Too short to find the key by it.
    call.key_hash = static_cast<std::uint32_t>(utils::Hash64(read->key));
  }
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
  const utils::Timestamp now = this->clock.Now();
  if (effect.answer.kind != ResultKind::kAnswered && this->lines.Permit(now)) {
    DescribeFailure(call, effect.answer, this->configuration, now).Info();
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

}  // namespace amaranthlatch::runtime::details
