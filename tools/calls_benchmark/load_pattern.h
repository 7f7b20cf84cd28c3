// Load patterns: services, call types and faults of a simulated deployment, read from JSON files.
// Field names are the keys of the files; absent fields keep their defaults.

#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::calls::benchmark {

struct ServicePattern {
  int servers_per_zone = 1;
  int slots = 6;
  // Speeds of the servers of a zone, repeated if there are more servers.
  std::vector<double> speeds = {1.0};
  // Outbound link of each instance; 0 has no limit.
  double link_mbit = 0.0;
  // For so long after its start a server takes `cold_factor` times as long.
  double cold_s = 0.0;
  double cold_factor = 1.0;
};

// Sinusoidal change of the rate by `swing`. Each zone has a phase, as a share of the period.
struct Wave {
  double swing = 0.0;
  double period_s = 8.0;
  std::vector<double> phases = {0.0};
};

struct Burst {
  double factor = 1.0;
  double from_s = 0.0;
  double until_s = 0.0;
};

struct CallType {
  std::string service;
  // internal, interactive, normal or batch.
  std::string priority = "normal";
  // Calls a second by callers in each zone.
  double rate_per_zone = 0.0;
  double target_ms = 500.0;
  double deadline_ms = 2'000.0;
  // Mean work at a server of speed 1; uniformly distributed, `work_spread` up and down.
  double work_ms = 100.0;
  double work_spread = 0.33;
  int request_bytes = 300;
  int response_bytes = 2'000;
  // Further calls that a caller makes after refusals.
  int retries = 0;
  bool idempotent = true;
  Wave wave;
  std::vector<Burst> bursts;
  // Call that the backend server makes with this probability after half of its work; empty for
  // none.
  std::string nested_type;
  double nested_share = 1.0;
};

// Concerns a share of the servers of a service.
struct Fault {
  std::string service;
  double share = 1.0;
  double from_s = 0.0;
  double until_s = 0.0;
  double slowdown = 1.0;
  // Probability of a refusal as not run.
  double refuse = 0.0;
  // The instance, with node and backend server, is lost until then.
  bool kill = false;
};

// See CrossingOptions.
struct CrossingPrice {
  double zone_ms = 30.0;
  double region_ms = 150.0;
  double zone_ms_per_kb = 0.0;
  double region_ms_per_kb = 0.0;
};

struct LoadPattern {
  std::string description;
  double seconds = 12.0;
  // Region of each zone.
  std::vector<std::string> zone_regions = {"r0"};
  // One-way latencies within a zone, between zones of a region and between regions.
  double within_zone_ms = 0.2;
  double between_zones_ms = 0.9;
  double between_regions_ms = 20.0;
  double retry_ratio = 0.2;
  double retry_slack = 56.0;
  CrossingPrice crossing;
  std::map<std::string, ServicePattern> services;
  std::map<std::string, CallType> call_types;
  std::vector<Fault> faults;
};

// Index of the priority of the type in document::Priority; 4 if it is unknown.
std::size_t PriorityIndex(const CallType& type);

// Fails with kSettingsUnreadable, kSettingsUnknownKey, kSettingsWrongType or kSettingsOutOfRange.
utils::Result<LoadPattern> ReadLoadPattern(const std::string& path);

}  // namespace amaranthlatch::calls::benchmark
