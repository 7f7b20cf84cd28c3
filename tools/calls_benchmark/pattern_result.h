// Results of a load pattern, by call type and second.

#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "amaranthlatch/calls/counters.h"

namespace amaranthlatch::calls::benchmark {

// Calls made within one second. Each offered call ends as one of the next four, with all requests
// that its caller makes for it.
struct CallCounts {
  std::uint64_t offered = 0;
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  // Requests to the mesh, refused ones, and those refused after 0.2 of the target latency.
  std::uint64_t requests = 0;
  std::uint64_t refusals = 0;
  std::uint64_t late_refusals = 0;
  // Attempts sent to other instances, arrivals at backend servers with those that the server
  // refuses, and those beyond the first of each request.
  std::uint64_t sent = 0;
  std::uint64_t arrivals = 0;
  std::uint64_t repeated_arrivals = 0;
  // Bytes of the attempts and their answers between zones of a region and between regions.
  std::uint64_t zone_bytes = 0;
  std::uint64_t region_bytes = 0;

  CallCounts& operator+=(const CallCounts& other);
};

struct TypeResult {
  std::vector<CallCounts> seconds;
  // Times of answers and of refusals, in ascending order.
  std::vector<double> answers_ms;
  std::vector<double> refusals_ms;

  // Sum over the seconds from `from` to before `until`.
  CallCounts Sum(std::size_t from = 0, std::size_t until = SIZE_MAX) const;
};

struct ServerResult {
  std::string zone;
  std::string service;
  double speed = 1.0;
  std::uint64_t runs = 0;
  // Share of the slots in use.
  double utilisation = 0.0;
};

struct PatternResult {
  std::map<std::string, TypeResult> types;
  std::vector<ServerResult> servers;
  // Calls, attempts, retries and moves of all nodes.
  Counters counters;
  // Description of the first error: an invariant violation, a call that ran twice without being
  // idempotent, a refused call that ran, a second answer, or more runs than slots.
  std::string first_error;

  nlohmann::json ToJson() const;
  // SVG of the goodput of each call type by second (solid), and of the offered calls (dashed).
  std::string ToSvg() const;
};

}  // namespace amaranthlatch::calls::benchmark
