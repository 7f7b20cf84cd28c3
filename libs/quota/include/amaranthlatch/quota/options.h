// Options of the quota reducer and their defaults (docs/design/quotas.md).

#pragma once

#include <cstdint>
#include <string>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::quota {

// What the bound on admitted calls rests on. Always on; the tests of the bound turn off one at a
// time to show that they would notice its loss.
struct Guards {
  bool credit_expires = true;
  bool claims_expire = true;
  bool transfers_are_debited = true;
  bool buckets_are_capped = true;
  bool operator==(const Guards&) const = default;
};

struct Options {
  membership::NodeId id;
  std::string zone;
  // Random number that distinguishes this process from earlier processes of the same node.
  std::uint64_t boot_id = 0;
  // Seed of jitter and of random choices.
  std::uint64_t seed = 0;

  // In every window, at most (rate x window + burst) x (1 + overshoot) + slack calls are admitted.
  utils::Duration window = utils::Seconds(5);
  double overshoot = 0.1;
  double slack = 20.0;

  // Interval of the credit requests of a node with active workspaces, and of one without, which
  // only renews its delegation. The latter leaves time for two repetitions within the term.
  utils::Duration request_interval = utils::Milliseconds(200);
  utils::Duration idle_request_interval = utils::Milliseconds(300);
  // Calls that begin to wait within this time are asked for in one request.
  utils::Duration request_delay = utils::Milliseconds(1);
  // Shortest time between two requests for calls that wait, and between two that only replenish
  // credit. They bound the requests that a holder receives from one node to 50 and 20 a second.
  utils::Duration waiting_request_gap = utils::Milliseconds(20);
  utils::Duration replenishing_request_gap = utils::Milliseconds(50);
  // A request is repeated after this time while calls wait, which is twice within their limit.
  utils::Duration repeated_request_interval = utils::Milliseconds(50);
  // Credit may be used for this long after the node made the request. It exceeds the request
  // interval, so that credit of one request lasts until the next one is answered.
  utils::Duration credit_lifetime = utils::Milliseconds(250);
  // A call without credit is refused after this time; below 150 ms by the delay of a wake-up.
  utils::Duration wait_limit = utils::Milliseconds(140);

  // Term for which a node leaves its share to a holder.
  utils::Duration delegation_term = utils::Seconds(1);
  // A node that was not listed before owns its share this long after it was listed, when the other
  // nodes count it as well.
  utils::Duration new_member_delay = utils::Seconds(3);
  // For how long the greatest number of members counts.
  utils::Duration member_count_memory = utils::Seconds(10);

  // A holder that leaves requests unanswered for this long is replaced by another one. A process
  // with 0.1 cores may be delayed by 100 ms at a time.
  utils::Duration silence_limit = utils::Milliseconds(300);
  // How long a node that did not answer is not asked again.
  utils::Duration avoidance_time = utils::Seconds(5);
  // Time after which a node that found no holder uses its own share.
  utils::Duration search_limit = utils::Seconds(1);
  // Interval at which a node asks whether a holder of a better rank responds.
  utils::Duration probe_interval = utils::Seconds(1);
  // The members of a zone form groups of up to this size, each with a holder of its own, so that
  // the requests that a holder answers do not grow with the size of the zone.
  std::uint32_t max_group_size = 64;

  // Interval of the requests of a holder to the other holders, and for a workspace with calls that
  // wait.
  utils::Duration transfer_interval = utils::Milliseconds(150);
  utils::Duration urgent_transfer_interval = utils::Milliseconds(50);
  // Credit of another holder is accepted for this long after the request was made. It must cover a
  // round trip between regions and the delays of two busy processes.
  utils::Duration transfer_lifetime = utils::Milliseconds(200);
  // Number of holders that are asked at a time.
  std::uint32_t max_transfer_peers = 24;

  // State of a workspace is dropped after this time without demand.
  utils::Duration idle_time = utils::Seconds(10);

  Guards guards;
};

}  // namespace amaranthlatch::quota
