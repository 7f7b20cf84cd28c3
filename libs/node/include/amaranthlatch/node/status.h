// Status and counters that a node reports to operators.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "amaranthlatch/acceptance/record.h"
#include "amaranthlatch/calls/counters.h"
#include "amaranthlatch/distribution/counters.h"
#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/membership/membership.h"

namespace amaranthlatch::node {

struct ServiceInForce {
  std::string service;
  document::Version version = 0;
  bool operator==(const ServiceInForce&) const = default;
};

// Response of GET /status.
struct Status {
  membership::Member self;
  // Whether calls are admitted; `reason` explains why not.
  bool ready = false;
  std::string reason;
  // Whether the failure detector is in a hold and declares no member dead.
  bool holding = false;
  acceptance::Offset held = 0;
  acceptance::Offset in_force = 0;
  acceptance::Offset log_head = 0;
  std::optional<acceptance::Offset> stopped_at;
  std::vector<ServiceInForce> services;
  std::map<membership::MemberState, std::size_t> members_by_state;
  bool operator==(const Status&) const = default;
};

struct Counters {
  std::uint64_t events = 0;
  std::uint64_t effects = 0;
  std::uint64_t state_checks = 0;
  std::uint64_t invariant_violations = 0;
  bool operator==(const Counters&) const = default;
};

struct CounterSnapshot {
  Counters node;
  membership::Counters membership;
  distribution::Counters distribution;
  calls::Counters calls;
  calls::Gauges gauges;
  bool operator==(const CounterSnapshot&) const = default;
};

}  // namespace amaranthlatch::node
