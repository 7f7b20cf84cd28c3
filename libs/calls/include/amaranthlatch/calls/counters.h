// Counters of the calls reducer, for metrics.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace amaranthlatch::calls {

// Number of places that calls are told apart by; see ServiceCounters.
inline constexpr std::size_t kPlaces = 4;

// Calls of one service that this entry node has sent.
struct ServiceCounters {
  // Answered calls by place of the server: this instance, elsewhere in its zone, elsewhere in its
  // region, another region.
  std::array<std::uint64_t, kPlaces> answered{};
  // Bytes of their requests and answers.
  std::array<std::uint64_t, kPlaces> bytes{};
  // Calls refused although a farther server had time for them: crossing cost more than the call is
  // worth.
  std::uint64_t refused_crossing = 0;

  bool operator==(const ServiceCounters&) const = default;
};

struct Counters {
  // Entry side.
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t moves = 0;
  std::uint64_t retries_over_budget = 0;
  std::uint64_t redirects = 0;
  std::uint64_t fences = 0;
  std::uint64_t fences_not_run = 0;
  std::uint64_t fences_unanswered = 0;
  std::uint64_t ignored_replies = 0;
  // Calls without a known outcome when this process had to end.
  std::uint64_t cut_by_shutdown = 0;
  std::uint64_t permits_asked = 0;
  // Bounded by the services that calls are routed to.
  std::map<std::string, ServiceCounters> services;

  // Gate side.
  std::uint64_t admitted = 0;
  std::uint64_t queued = 0;
  std::uint64_t runs = 0;
  std::uint64_t refused = 0;
  // Part of `refused`.
  std::uint64_t refused_link_busy = 0;
  std::uint64_t dropped_from_queue = 0;
  // Part of `dropped_from_queue`: calls whose entry nodes end before the answer.
  std::uint64_t withdrawn = 0;
  std::uint64_t cancelled_runs = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t fenced = 0;
  std::uint64_t foreign_process = 0;
  std::uint64_t permits_issued = 0;
  std::uint64_t permit_answers_repeated = 0;
  std::uint64_t limit_decreases = 0;
  std::uint64_t backend_crashes = 0;
  std::uint64_t quarantined = 0;
  std::uint64_t suspects_cleared = 0;

  bool operator==(const Counters&) const = default;
};

// Current values, for metrics and load reports.
struct Gauges {
  std::uint32_t open_calls = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t concurrency_limit = 0;
  std::uint32_t suspects = 0;

  bool operator==(const Gauges&) const = default;
};

}  // namespace amaranthlatch::calls
