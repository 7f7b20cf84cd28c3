// Options of the calls reducer with their defaults.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls {

inline constexpr std::size_t kPermitKeyBytes = 32;
using PermitKey = std::array<unsigned char, kPermitKeyBytes>;

struct EntryOptions {
  // Maximum number of concurrently open calls; further calls are refused.
  std::uint32_t max_open_calls = 20'000;
  // Maximum total size of their requests in bytes; requests are kept for retries.
  std::uint64_t max_open_bytes = 64ULL * 1024 * 1024;
  // Upper bound for the deadline of a call, whatever its route or caller specifies.
  utils::Duration max_deadline = utils::Seconds(60);
  // An unanswered fence is repeated at this interval and given up after the timeout.
  utils::Duration fence_retry_interval = utils::Milliseconds(100);
  utils::Duration fence_timeout = utils::Milliseconds(400);
  // How long to wait for a reply that the gate reports to have sent already.
  utils::Duration reply_grace_period = utils::Milliseconds(50);
  // Lower bound for the time after which an unanswered attempt is fenced or retried.
  utils::Duration min_attempt_timeout = utils::Milliseconds(100);
  // Exponential backoff between retries, doubled each time; half of each delay is jitter.
  utils::Duration initial_backoff = utils::Milliseconds(10);
  utils::Duration max_backoff = utils::Milliseconds(250);
  // Initial and maximum number of retries in the retry budget of a service at each node; unused if
  // `retry_slack` is set.
  double retry_burst = 10.0;
  // Number of retries of a service that all nodes together may keep; each keeps an equal part.
  std::optional<double> retry_slack;
  bool retry_budget_enabled = true;
  // Maximum number of attempts of a call that reached no backend server and are repeated at another
  // gate without counting as attempts or retries. 0 counts them like all others.
  std::uint32_t max_uncounted_moves = 0;
  // Maximum number of redirects of a suspect request to its owner gate, per call.
  std::uint32_t max_redirects = 2;
  utils::Duration permit_reply_timeout = utils::Milliseconds(300);
  std::uint32_t permit_attempts = 3;
  // Maximum number of concurrently open permit requests.
  std::uint32_t max_open_permit_requests = 10'000;
};

struct GateOptions {
  // How long attempts are tracked beyond the maximum deadline. Must exceed the longest time that
  // a message between two nodes can be in transit.
  utils::Duration retention_margin = utils::Seconds(15);
  // Maximum number of tracked attempts that ran or are queued; new work is refused at the
  // limit.
  std::uint32_t max_tracked_attempts = 524'288;
  // Size in bits of each of two Bloom filters for refused or fenced attempts; a power of two.
  std::uint64_t refusal_filter_bits = 1ULL << 25U;
  // Maximum total size in bytes of the bodies of queued and running requests; new work that exceeds
  // it is refused.
  std::uint64_t max_admitted_bytes = 256ULL * 1024 * 1024;
  // Every n-th dequeue takes the oldest call of a lower priority, to prevent starvation.
  std::uint32_t fairness_interval = 16;
  // Refuses calls that would be queued beyond their deadline and drops queued calls at theirs.
  bool bound_queue_by_deadline = true;
  bool adaptive_concurrency_limit = true;
  // Share of the time left to its target latency that a call may wait in a queue that has stood for
  // half a second; 0 for all of it.
  double standing_queue_share = 0.0;
  // Whether the transport may deliver a message twice, including to a later process at the same
  // address. If not, a request for the previous process is refused as not run.
  bool transport_may_duplicate = true;
  // Rate of this instance's outbound link; 0 if it is not known, then admission ignores the link.
  std::uint64_t link_bits_per_second = 0;
};

struct PermitOptions {
  utils::Duration lifetime = utils::Seconds(600);
  utils::Duration answer_retention = utils::Seconds(120);
  std::uint64_t answer_bytes = 16ULL * 1024 * 1024;
  // Maximum number of permits that a gate tracks; further permit requests are refused.
  std::uint32_t capacity = 200'000;
  // Maximum number of copies of one request that wait for its answer.
  std::uint32_t max_waiting_copies = 16;
};

struct QuarantineOptions {
  utils::Duration duration = utils::Seconds(600);
  // Maximum number of tracked fingerprints; a new suspect evicts the oldest one.
  std::uint32_t capacity = 4'096;
  // Number of gates that receive a crash report directly; each relays it to a share of the rest.
  std::uint32_t direct_receivers = 64;
  // A connection lost within this time before the process was found dead counts as part of the
  // crash.
  utils::Duration crash_window = utils::Seconds(1);
};

struct BalanceOptions {
  // Half-life of the weight of an observed refusal or failure.
  utils::Duration half_life = utils::Seconds(2);
  // Half-life of the weight of an observed latency.
  utils::Duration latency_half_life = utils::Seconds(10);
  // Age at which the load reported by a gate is no longer used.
  utils::Duration load_report_lifetime = utils::Seconds(1);
  // Each such interval without a reply from a gate with open calls counts as one failure.
  utils::Duration silence_interval = utils::Milliseconds(400);
  // Number of members with observations above which those without open calls are evicted.
  std::uint32_t capacity = 20'000;
};

// What it costs to leave the zone, expressed as time: a call leaves it if that saves more.
struct CrossingOptions {
  utils::Duration zone = utils::Milliseconds(30);
  utils::Duration region = utils::Milliseconds(150);
  // For each kilobyte (1,000 bytes) of the request and the expected answer.
  utils::Duration zone_per_kb{};
  utils::Duration region_per_kb{};
};

struct Options {
  std::uint64_t seed = 1;
  // Shared by all nodes of the mesh and derived from its secret.
  PermitKey permit_key{};
  EntryOptions entry;
  GateOptions gate;
  PermitOptions permit;
  QuarantineOptions quarantine;
  BalanceOptions balance;
  // For policies that account for distance.
  CrossingOptions crossing;
};

}  // namespace amaranthlatch::calls
