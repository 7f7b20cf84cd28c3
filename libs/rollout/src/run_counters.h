// Counts the runs of the local backend server by route, for one version and one order.

#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "amaranthlatch/rollout/event.h"
#include "amaranthlatch/rollout/message.h"
#include "evidence.h"

namespace amaranthlatch::rollout::details {

class RunCounters {
 public:
  // `is_cold`: the backend server is still slow after its start, so that the run is no evidence.
  void OnStarted(const RunStarted& run, bool is_cold, utils::Timestamp now);
  void OnEnded(const RunEnded& run, utils::Timestamp now);

  // Runs started so far, with those that are no evidence.
  std::uint64_t Started() const { return this->started; }
  std::vector<RouteCounters> ToRoutes() const;

 private:
  struct Run {
    std::size_t route = 0;
    utils::Timestamp started{};
    bool is_cold = false;
  };
  struct Route {
    std::string name;
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    std::array<std::uint64_t, kLatencyBuckets> latencies{};
  };

  std::size_t IndexOf(const std::string& route);

  std::uint64_t started = 0;
  std::unordered_map<std::uint64_t, Run> runs;
  std::vector<Route> routes;
  // Index into `routes`.
  std::map<std::string, std::size_t, std::less<>> index;
  // When runs were last lost with the process of the backend server.
  utils::Timestamp last_loss = utils::Timestamp::min();
};

}  // namespace amaranthlatch::rollout::details
