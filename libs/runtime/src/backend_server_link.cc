// Announcements and runs.

#include "amaranthlatch/runtime/backend_server_link.h"

#include <algorithm>
#include <array>
#include <asio/post.hpp>
#include <limits>
#include <utility>

#include "amaranthlatch/document/json_guard.h"
#include "amaranthlatch/runtime/connection_probe.h"
#include "amaranthlatch/runtime/endpoint.h"
#include "amaranthlatch/runtime/log_line.h"

namespace amaranthlatch::runtime {

namespace {

using utils::ErrorCode;
using utils::Fail;

// Announcements come every second; after three missing ones the address is tried.
constexpr utils::Duration kCheckInterval = utils::Seconds(1);
constexpr utils::Duration kAnnouncementLimit = utils::Milliseconds(3500);
constexpr utils::Duration kProbeLimit = utils::Milliseconds(500);
constexpr std::size_t kMaxLabels = 32;
constexpr std::size_t kMaxTextBytes = 256;
constexpr std::uint32_t kMaxSlots = 100'000;

tl::unexpected<utils::Error> BadField(const std::string& key, const std::string& text) {
  return Fail(ErrorCode::kBadRequest, text, "/" + document::EscapePointerToken(key));
}

bool IsShortText(const nlohmann::json& value) {
  return value.is_string() && value.get_ref<const std::string&>().size() <= kMaxTextBytes &&
         document::IsPrintableUtf8(value.get_ref<const std::string&>());
}

utils::Result<document::Labels> ParseLabels(const nlohmann::json& value) {
  if (!value.is_object() || value.size() > kMaxLabels) {
    return BadField("labels", "object with at most 32 texts expected");
  }
  document::Labels labels;
  for (const auto& [key, label] : value.items()) {
    if (key.size() > kMaxTextBytes || !IsShortText(label)) {
      return BadField("labels", "labels are short texts");
    }
    labels[key] = label.get<std::string>();
  }
  return labels;
}

utils::Result<std::uint32_t> ParseCount(const std::string& key, const nlohmann::json& value) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() < 1 ||
      value.get<std::uint64_t>() > kMaxSlots) {
    return BadField(key, "integer in 1..100000 expected");
  }
  return value.get<std::uint32_t>();
}

utils::Result<void> CheckShape(const nlohmann::json& object) {
  constexpr std::array<const char*, 5> kKeys = {"service", "address", "labels", "slots",
                                                "connections"};
  if (!object.is_object()) {
    return Fail(ErrorCode::kBadRequest, "object expected");
  }
  for (const char* key : kKeys) {
    if (!object.contains(key)) {
      return BadField(key, "required field is absent");
    }
  }
  for (const auto& [key, value] : object.items()) {
    if (std::find(kKeys.begin(), kKeys.end(), key) == kKeys.end()) {
      return BadField(key, "unknown field");
    }
  }
  return {};
}

}  // namespace

utils::Result<BackendServer> ParseBackendServer(const std::string& json) {
  const auto object = document::ParseJsonText(json);
  if (!object) {
    return Fail(ErrorCode::kBadRequest, object.error().message, object.error().pointer);
  }
  if (auto checked = CheckShape(*object); !checked) {
    return tl::unexpected(checked.error());
  }
  if (!IsShortText((*object)["service"]) || (*object)["service"].get<std::string>().empty()) {
    return BadField("service", "short text expected");
  }
  const nlohmann::json& address = (*object)["address"];
  if (!address.is_string() || !ParseEndpoint(address.get<std::string>())) {
    return BadField("address", "ip:port expected");
  }
  auto labels = ParseLabels((*object)["labels"]);
  const auto slots = ParseCount("slots", (*object)["slots"]);
  const auto connections = ParseCount("connections", (*object)["connections"]);
  if (!labels) {
    return tl::unexpected(labels.error());
  }
  if (!slots || !connections) {
    return tl::unexpected(slots ? connections.error() : slots.error());
  }
  return BackendServer{{},
                       (*object)["service"].get<std::string>(),
                       address.get<std::string>(),
                       std::move(*labels),
                       *slots,
                       *connections};
}

HttpExchange OwnBackendDialect::WriteExchange(const BackendServer& /*server*/,
                                              const calls::RunOnBackendServer& run) const {
  HttpExchange exchange;
  exchange.request = run.request;
  exchange.request.headers.emplace_back("amaranthlatch-deadline-ms",
                                        std::to_string(utils::ToMilliseconds(run.remaining)));
  return exchange;
}

utils::Result<calls::HttpResponse> OwnBackendDialect::ReadResponse(
    calls::HttpResponse response) const {
  return response;
}

BackendServerLink::BackendServerLink(asio::io_context& context, const utils::Clock& clock,
                                     HttpClient& client, const BackendDialect& dialect,
                                     utils::Duration silent_after, Report report)
    : context(context),
      clock(clock),
      client(client),
      dialect(dialect),
      silent_after(silent_after),
      report(std::move(report)),
      check_timer(context) {}

BackendServerLink::~BackendServerLink() { *this->alive = false; }

void BackendServerLink::Announce(BackendServer announced) {
  if (this->server != announced) {
    this->client.LimitConnections(announced.connections);
    this->server = std::move(announced);
  }
  this->last_announcement = this->clock.Now();
  if (!this->watching) {
    this->watching = true;
    this->ScheduleCheck();
  }
  this->report(node::BackendServerAnnounced{this->server->service, this->server->labels,
                                            this->server->slots});
}

void BackendServerLink::Leave() {
  this->watching = false;
  this->check_timer.cancel();
}

void BackendServerLink::ScheduleCheck() {
  this->check_timer.expires_after(kCheckInterval);
  this->check_timer.async_wait([this, alive = this->alive](const asio::error_code& error) {
    if (!error && *alive) {
      this->Check();
    }
  });
}

void BackendServerLink::Check() {
  if (this->clock.Now() - this->last_announcement < kAnnouncementLimit) {
    this->ScheduleCheck();
    return;
  }
  ProbeConnection(this->context, this->server->address, kProbeLimit, {},
                  [this, alive = this->alive](ProbeResult result) {
                    if (*alive && this->watching) {
                      this->OnProbed(result == ProbeResult::kAccepted);
                    }
                  });
}

void BackendServerLink::OnProbed(bool accepted) {
  const bool announced_again = this->clock.Now() - this->last_announcement < kAnnouncementLimit;
  if (accepted || announced_again) {
    this->ScheduleCheck();
    return;
  }
  this->watching = false;
  this->report(node::BackendServerLost{});
}

void BackendServerLink::Run(const calls::RunOnBackendServer& run) {
  if (!this->server) {
    asio::post(this->context, [this, alive = this->alive, id = run.run] {
      if (*alive) {
        this->report(calls::BackendServerFailed{id, calls::BackendFailure::kNotConnected, false});
      }
    });
    return;
  }
  HttpExchange exchange = this->dialect.WriteExchange(*this->server, run);
  exchange.address = this->server->address;
  exchange.time_limit = run.remaining;
  exchange.max_response_bytes = run.max_response_bytes;
  exchange.silent_after = this->silent_after;
  exchange.repeatable = run.idempotent;
  std::string name = exchange.echo_value;
  this->client.Start(run.run, std::move(exchange),
                     [this, alive = this->alive, id = run.run, name = std::move(name),
                      begun = this->clock.Now()](HttpOutcome outcome) {
                       if (*alive) {
                         this->OnOutcome(id, name, begun, std::move(outcome));
                       }
                     });
}

void BackendServerLink::LogFailure(const std::string& name, const HttpFailure& failure) {
  // A cancelled run says nothing about the backend server.
  if (failure.failure == calls::BackendFailure::kCancelled ||
      !this->lines.Permit(this->clock.Now())) {
    return;
  }
  LogLine("run-failed")
      .Add("request", name)
      .Add("detail", failure.detail)
      .Add("framing", ToString(failure.framing))
      .Add("body_bytes", failure.body_bytes)
      .Info();
}

void BackendServerLink::OnOutcome(std::uint64_t run, const std::string& name,
                                  utils::Timestamp begun, HttpOutcome outcome) {
  if (!outcome) {
    this->LogFailure(name, outcome.error());
    this->report(
        calls::BackendServerFailed{run, outcome.error().failure, outcome.error().process_dead});
    return;
  }
  const utils::Duration time = this->clock.Now() - begun;
  this->run_times.Add(time);
  const std::uint64_t body_bytes = outcome->body.size();
  auto response = this->dialect.ReadResponse(std::move(*outcome));
  if (!response) {
    ++this->bad_answers;
    HttpFailure failure;
    failure.detail = response.error().message;
    failure.body_bytes = body_bytes;
    this->LogFailure(name, failure);
    this->report(calls::BackendServerFailed{run, calls::BackendFailure::kConnectionLost, false});
    return;
  }
  response->headers.emplace_back(calls::kBackendTimeField, std::to_string(time.count()));
  this->report(calls::BackendServerAnswered{run, std::move(*response)});
}

void BackendServerLink::Cancel(std::uint64_t run) { this->client.Cancel(run); }

}  // namespace amaranthlatch::runtime
