// The page at /metrics.

#pragma once

#include <cstdint>
#include <string>

#include "amaranthlatch/node/envelope.h"
#include "amaranthlatch/node/status.h"
#include "amaranthlatch/runtime/http_server.h"
#include "amaranthlatch/runtime/metrics.h"
#include "amaranthlatch/runtime/traffic.h"
#include "amaranthlatch/runtime/transport.h"

namespace amaranthlatch::runtime {

// Everything that the page shows, gathered by the host.
struct NodeMetrics {
  node::CounterSnapshot counters;
  node::Envelope::Counters envelope;
  TransportCounters transport;
  HttpServerCounters data_server;
  HttpServerCounters admin_server;
  const Traffic* traffic = nullptr;
  const DurationHistogram* call_times = nullptr;
  const DurationHistogram* added_times = nullptr;
  const DurationHistogram* run_times = nullptr;
  const DurationHistogram* reducer_times = nullptr;
  const DurationHistogram* convergence_times = nullptr;
  bool ready = false;
  std::uint64_t held = 0;
  std::uint64_t in_force = 0;
  std::uint64_t timer_wakes = 0;
  std::uint64_t seal_failures = 0;
};

std::string ToPrometheus(const NodeMetrics& metrics);

}  // namespace amaranthlatch::runtime
