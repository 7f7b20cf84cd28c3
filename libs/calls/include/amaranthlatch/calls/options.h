// Settings of the calls reducer with units and defaults.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls {

inline constexpr std::size_t kPermitKeyBytes = 32;
using PermitKey = std::array<unsigned char, kPermitKeyBytes>;

struct EntryOptions {
  // Calls of callers that are open at once; further ones are refused.
  std::uint32_t max_open_calls = 20'000;
  // Bytes of their requests, which are kept for retries.
  std::uint64_t max_open_bytes = 64ULL * 1024 * 1024;
  // No call lives longer, whatever its route or caller states.
  utils::Duration max_deadline = utils::Seconds(60);
  // A fence without an answer is repeated after each interval and given up after the timeout.
  utils::Duration fence_retry_interval = utils::Milliseconds(100);
  utils::Duration fence_timeout = utils::Milliseconds(400);
  // Wait for a reply that a gate has sent already, by its own account.
  utils::Duration reply_grace_period = utils::Milliseconds(50);
  // An attempt without an answer is given up no sooner; see Entry.
  utils::Duration min_attempt_timeout = utils::Milliseconds(100);
  // Delays before retries double from the first to the longest; half of each is jitter.
  utils::Duration initial_backoff = utils::Milliseconds(10);
  utils::Duration max_backoff = utils::Milliseconds(250);
  // Retries that a service may make before its calls have filled its budget.
  double retry_burst = 10.0;
  bool retry_budget_enabled = true;
  // Attempts of a call that reached no backend server and are repeated elsewhere at once, without
  // counting as attempts or retries. 0 treats them like all others.
  std::uint32_t max_uncounted_moves = 0;
  // Redirections of a suspect request to its home gate, for each call.
  std::uint32_t max_redirects = 2;
  utils::Duration permit_reply_timeout = utils::Milliseconds(300);
  std::uint32_t permit_attempts = 3;
  // Permit requests of callers that are open at once.
  std::uint32_t max_open_permit_requests = 10'000;
};

struct GateOptions {
  // Longer than any message between two nodes can be under way.
  utils::Duration retention_margin = utils::Seconds(15);
  // Attempts that ran or wait; new work is refused while all are taken.
  std::uint32_t max_tracked_attempts = 524'288;
  // Bits of each of two filters for attempts that were refused or fenced; a power of two.
  std::uint64_t refusal_filter_bits = 1ULL << 25U;
  // Every n-th dequeue takes the oldest call of a lower class.
  std::uint32_t fairness_interval = 16;
  // Refuses work that would wait beyond its deadline and drops it at its deadline.
  bool bound_queue_by_deadline = true;
  bool adaptive_concurrency_limit = true;
  // Whether a message may arrive twice, also at the next process of an address. Without repeats a
  // request for the previous process is refused as not run.
  bool transport_may_duplicate = true;
};

struct PermitOptions {
  utils::Duration lifetime = utils::Seconds(600);
  utils::Duration answer_retention = utils::Seconds(120);
  std::uint64_t answer_bytes = 16ULL * 1024 * 1024;
  // Permits of which the gate keeps the state; further ones are refused.
  std::uint32_t capacity = 200'000;
  // Copies of one request that wait for its answer.
  std::uint32_t max_waiting_copies = 16;
};

struct QuarantineOptions {
  utils::Duration duration = utils::Seconds(600);
  // Requests of which suspicions are kept; the oldest suspect gives way to a new one.
  std::uint32_t capacity = 4'096;
  // Gates that receive a report from its sender; each passes it to a share of the others.
  std::uint32_t direct_receivers = 64;
  // A connection lost this long before the process was found dead belongs to its death.
  utils::Duration crash_window = utils::Seconds(1);
};

struct BalanceOptions {
  // Time after which half of an observed refusal or failure is forgotten.
  utils::Duration failure_half_life = utils::Seconds(2);
  // Age at which a server's latency counts half.
  utils::Duration latency_half_life = utils::Seconds(10);
  // Age at which the load that a gate reported no longer counts.
  utils::Duration load_report_lifetime = utils::Seconds(1);
  // Each such time without any reply from a gate with open calls counts as one fault.
  utils::Duration silence_interval = utils::Milliseconds(400);
  // Members of which observations are kept.
  std::uint32_t capacity = 20'000;
};

struct Options {
  std::uint64_t seed = 1;
  // Shared by all nodes of the mesh; derived from the mesh's secret.
  PermitKey permit_key{};
  EntryOptions entry;
  GateOptions gate;
  PermitOptions permit;
  QuarantineOptions quarantine;
  BalanceOptions balance;
};

}  // namespace amaranthlatch::calls
