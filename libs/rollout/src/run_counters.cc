// Counting by route and bucket of latency.

#include "run_counters.h"

namespace amaranthlatch::rollout::details {

namespace {

// A report has to stay small; the runs on further routes are counted together.
constexpr std::size_t kMaxRoutes = 32;
// Runs lost within this time were lost with one process.
constexpr utils::Duration kLossWindow = utils::Seconds(1);

}  // namespace

std::size_t RunCounters::IndexOf(const std::string& route) {
  const auto found = this->index.find(route);
  if (found != this->index.end()) {
    return found->second;
  }
  if (this->routes.size() >= kMaxRoutes && !route.empty()) {
    return this->IndexOf({});
  }
  this->routes.push_back({route, 0, 0, {}});
  return this->index[route] = this->routes.size() - 1;
}

void RunCounters::OnStarted(const RunStarted& run, bool is_cold, utils::Timestamp now) {
  ++this->started;
  this->runs[run.run] = {this->IndexOf(run.route), now, is_cold};
}

void RunCounters::OnEnded(const RunEnded& run, utils::Timestamp now) {
  const auto found = this->runs.find(run.run);
  if (found == this->runs.end()) {
    return;
  }
  const Run ended = found->second;
  this->runs.erase(found);
  const bool is_lost = run.outcome == RunOutcome::kServerLost;
  const bool was_counted = is_lost && this->last_loss > now - kLossWindow;
  if (is_lost) {
    this->last_loss = now;
  }
  if (ended.is_cold || was_counted || run.outcome == RunOutcome::kNotRun) {
    return;
  }
  Route& route = this->routes[ended.route];
  ++route.answers;
  if (is_lost || run.outcome == RunOutcome::kFailed) {
    ++route.failures;
  } else {
    ++route.latencies[BucketOf(now - ended.started)];
  }
}

std::vector<RouteCounters> RunCounters::ToRoutes() const {
  std::vector<RouteCounters> result;
  for (const Route& route : this->routes) {
    if (route.answers == 0) {
      continue;
    }
    RouteCounters& counters = result.emplace_back();
    counters.route = route.name;
    counters.answers = route.answers;
    counters.failures = route.failures;
    for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
      if (route.latencies[i] > 0) {
        counters.latencies.push_back({static_cast<std::uint8_t>(i), route.latencies[i]});
      }
    }
  }
  return result;
}

}  // namespace amaranthlatch::rollout::details
