// The metrics page of a node in register mode.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "amaranthlatch/calls/counters.h"
#include "amaranthlatch/directory/directory.h"
#include "amaranthlatch/node/envelope.h"
#include "amaranthlatch/node/register_node.h"
#include "amaranthlatch/quota/quota.h"
#include "amaranthlatch/rollout/rollout.h"
#include "amaranthlatch/runtime/http_client.h"
#include "amaranthlatch/runtime/http_server.h"
#include "amaranthlatch/runtime/metrics.h"
#include "amaranthlatch/runtime/transport.h"

namespace amaranthlatch::runtime::details {

struct RegisterMetrics {
  directory::Counters directory;
  directory::Gauges directory_gauges;
  calls::Counters calls;
  calls::Gauges gauges;
  node::AuthorizationCounters authorizations;
  quota::Counters quota;
  quota::Gauges quota_gauges;
  rollout::Counters rollout;
  rollout::Gauges rollout_gauges;
  node::Envelope::Counters envelope;
  TransportCounters transport;
  HttpServerCounters data_server;
  const DurationHistogram* call_times = nullptr;
  const DurationHistogram* added_times = nullptr;
  const DurationHistogram* run_times = nullptr;
  bool ready = false;
  // Of the configuration in force; 0 for none.
  std::uint64_t version = 0;
  // Since the register is known to have held nothing newer; none if unknown.
  std::optional<utils::Duration> configuration_confirmed_age;
  // Exchanges with the backend server.
  HttpClientCounters backend_client;
  std::uint64_t bad_answers = 0;
  std::uint64_t announcements_refused = 0;
  // Withdrawals not acknowledged because the register did not store them in time.
  std::uint64_t withdrawals_overdue = 0;
  // Lines of failed calls above the rate that is written.
  std::uint64_t call_lines_dropped = 0;
};

std::string ToPrometheus(const RegisterMetrics& metrics);

}  // namespace amaranthlatch::runtime::details
