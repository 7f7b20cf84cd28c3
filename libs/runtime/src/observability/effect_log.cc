// Texts of the log lines.

#include "observability/effect_log.h"

#include <array>
#include <cstdint>
#include <variant>

#include "amaranthlatch/runtime/admin_interface.h"
#include "amaranthlatch/runtime/log_line.h"

namespace amaranthlatch::runtime::details {

namespace {

// One name for each alternative of node::Event, in its order.
constexpr std::array<std::string_view, std::variant_size_v<node::Event>> kEventNames = {
    "wake-up",
    "message-received",
    "message-not-sent",
    "peer-unreachable",
    "backend-server-announced",
    "backend-server-lost",
    "drain-requested",
    "log-read",
    "log-read-failed",
    "log-append-done",
    "log-append-failed",
    "call-received",
    "caller-gone",
    "permit-asked",
    "backend-server-answered",
    "backend-server-failed",
};

}  // namespace

std::string_view EventName(const node::Event& event) { return kEventNames.at(event.index()); }

void LogEffect(const node::InvariantViolated& effect, const node::Event& cause) {
  LogViolation(effect, EventName(cause));
}

void LogViolation(const node::InvariantViolated& effect, std::string_view cause) {
  LogLine("invariant-violated")
      .Add("code", utils::ToNumber(utils::ErrorCode::kInvariantViolated))
      .Add("promise", effect.invariant)
      .Add("detail", effect.detail)
      .Add("cause", cause)
      .Error();
}

void LogEffect(const membership::MemberChanged& effect) { LogMember(effect.after); }

void LogMember(const membership::Member& member) {
  LogLine("member-changed")
      .Add("id", member.id)
      .Add("zone", member.zone)
      .Add("service", member.service)
      .Add("state", ToString(member.state))
      .Add("incarnation", member.incarnation)
      .Debug();
}

void LogEffect(const membership::HoldChanged& effect) {
  LogLine("hold-changed").Add("holding", effect.holding ? "true" : "false").Warn();
}

void LogEffect(const distribution::VerdictInForce& effect) {
  const acceptance::Verdict& verdict = effect.verdict;
  LogLine("record-in-force")
      .Add("offset", verdict.offset)
      .Add("service", verdict.service)
      .Add("publish_id", verdict.publish_id)
      .Add("author", verdict.author)
      .Add("code", utils::ToNumber(verdict.code))
      .Add("name", utils::ToString(verdict.code))
      .Info();
}

void LogEffect(const distribution::ReadinessChanged& effect) {
  LogLine("readiness-changed")
      .Add("ready", effect.ready ? "true" : "false")
      .Add("reason", effect.reason)
      .Info();
}

void LogEffect(const distribution::FoldStopped& effect) {
  LogLine("fold-stopped")
      .Add("offset", effect.offset)
      .Add("code", utils::ToNumber(utils::ErrorCode::kRecordUnknownFormat))
      .Error();
}

void LogEffect(const calls::QuarantineChanged& effect) {
  LogLine("quarantine-changed")
      .Add("service", effect.service)
      .Add("fingerprint", effect.fingerprint)
      .Add("quarantined", effect.quarantined ? "true" : "false")
      .Warn();
}

void LogEffect(const directory::ConfigurationActivated& effect) {
  LogLine("configuration-in-force")
      .Add("version", effect.version)
      .Add("previous", effect.previous_version)
      .Add("routes", effect.route_count)
      .Info();
}

void LogEffect(const directory::RegisterReachabilityChanged& effect) {
  LogLine("register-reachable")
      .Add("stream", effect.stream == directory::Stream::kMembers ? "members" : "configuration")
      .Add("reachable", effect.reachable ? "true" : "false")
      .Add("code", utils::ToNumber(effect.error.code))
      .Add("detail", effect.error.message)
      .Warn();
}

void LogEffect(const directory::RegisterEraRisen& effect) {
  LogLine("register-era-risen")
      .Add("era", effect.era)
      .Add("previous_era", effect.previous_era)
      .Warn();
}

void LogEffect(const directory::OwnRecordLost& effect) {
  LogLine("own-record-lost").Add("replaced", effect.replaced ? "true" : "false").Info();
}

void LogEffect(const directory::ConfigurationOutdated& effect) {
  LogLine("configuration-outdated")
      .Add("version", effect.version)
      .Add("newer", effect.newer_version)
      .Add("known_from", effect.node)
      .Warn();
}

}  // namespace amaranthlatch::runtime::details
