// Options of the rollout reducer.

#pragma once

#include <cstdint>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::rollout {

struct Options {
  membership::NodeId id;
  // Random number that distinguishes this process from earlier processes of the same node.
  std::uint64_t boot_id = 0;
  // Seed of the jitter of reports.
  std::uint64_t seed = 0;

  // A bad version may receive this share of the requests of its service, plus `exposure_slack`.
  double exposure_share = 0.1;
  double exposure_slack = 50.0;
  // Time after which a version found bad must receive nothing, even if the coordinator is lost. The
  // lease of an allowance and the time after which a coordinator is replaced are fractions of it.
  utils::Duration rollback = utils::Seconds(5);

  // Reports go out at the interval per member of the service, because one node answers all of them.
  utils::Duration report_interval_per_member = utils::Milliseconds(15);
  utils::Duration min_report_interval = utils::Milliseconds(250);
  // Longest interval of a node whose lease must be renewed. Three reports may be lost in a lease.
  utils::Duration max_lease_report_interval = utils::Milliseconds(500);
  // For how long a backend server of an unexplained version is held back: an order for it may not
  // have reached this node yet.
  utils::Duration unexplained_hold = utils::Seconds(3);
};

}  // namespace amaranthlatch::rollout
