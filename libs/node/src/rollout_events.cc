// Outcomes of runs, orders and announcements as the rollout reducer takes them.

#include "rollout_events.h"

#include <algorithm>
#include <string>

namespace amaranthlatch::node::details {

namespace {

constexpr int kStatusServerError = 500;
constexpr int kStatusUnavailable = 503;
// A backend server answers so if the deadline passed while it worked: a slow answer, no failure.
constexpr int kStatusGatewayTimeout = 504;
constexpr const char* kNotRunHeader = "amaranthlatch-not-run";

bool HasField(const calls::HttpResponse& response, const char* name) {
  return std::any_of(response.headers.begin(), response.headers.end(),
                     [name](const auto& field) { return field.first == name; });
}

rollout::RunOutcome OutcomeOf(const calls::HttpResponse& response) {
  if (response.status == kStatusUnavailable && HasField(response, kNotRunHeader)) {
    return rollout::RunOutcome::kNotRun;
  }
  if (response.status == kStatusGatewayTimeout) {
    return rollout::RunOutcome::kCancelled;
  }
  return response.status >= kStatusServerError ? rollout::RunOutcome::kFailed
                                               : rollout::RunOutcome::kAnswered;
}

rollout::RunOutcome OutcomeOf(const calls::BackendServerFailed& failed) {
  if (failed.failure == calls::BackendFailure::kNotConnected) {
    return rollout::RunOutcome::kNotRun;
  }
  if (failed.failure == calls::BackendFailure::kCancelled) {
    return rollout::RunOutcome::kCancelled;
  }
  return failed.process_dead ? rollout::RunOutcome::kServerLost : rollout::RunOutcome::kFailed;
}

}  // namespace

rollout::OrdersChanged ToOrdersChanged(const std::vector<directory::RolloutOrder>& orders) {
  rollout::OrdersChanged changed;
  for (const directory::RolloutOrder& order : orders) {
    changed.orders.push_back({order.service, order.target_version, order.duration, order.position});
  }
  return changed;
}

rollout::BackendServerChanged ToServerChanged(const directory::BackendServerReady& server,
                                              bool available) {
  const auto version = server.labels.find(membership::kVersionLabel);
  return {server.service, version == server.labels.end() ? std::string() : version->second,
          server.slots, available, server.cold_left};
}

rollout::RunEnded ToRunEnded(const calls::BackendServerAnswered& answered) {
  return {answered.run, OutcomeOf(answered.response)};
}

rollout::RunEnded ToRunEnded(const calls::BackendServerFailed& failed) {
  return {failed.run, OutcomeOf(failed)};
}

}  // namespace amaranthlatch::node::details
