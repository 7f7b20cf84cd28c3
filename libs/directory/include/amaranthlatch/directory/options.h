// Options of the directory reducer.

#pragma once

#include <cstdint>
#include <string>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::directory {

struct Options {
  membership::NodeId id;
  std::string region;
  std::string zone;
  std::string data_address;
  // Random number that distinguishes this process from earlier processes of the same node.
  std::uint64_t boot_id = 0;
  // Seed of the retry jitter.
  std::uint64_t seed = 0;

  // Longest time that the register holds a read open while there are no new records.
  utils::Duration max_read_wait = utils::Seconds(20);
  // Delays between the end of a read and the start of the next, which batch changes in quick
  // succession. Delay plus transfer time must stay well below the time within which a change has to
  // take effect.
  utils::Duration configuration_read_delay = utils::Milliseconds(700);
  utils::Duration members_read_delay = utils::Milliseconds(500);
  // Time after which a read in flight is considered lost if another node uses a newer configuration
  // version. Must exceed the transfer time of a successful read.
  utils::Duration stale_configuration_timeout = utils::Milliseconds(1000);
  // A wake-up that is later than this shows that the node itself was delayed; what it awaits may
  // have been received meanwhile.
  utils::Duration max_wake_delay = utils::Milliseconds(250);
  // Delay before a failed read or write is retried. It doubles with every consecutive failure, from
  // the initial up to the maximum delay.
  utils::Duration initial_retry_delay = utils::Milliseconds(150);
  utils::Duration max_retry_delay = utils::Milliseconds(1000);
};

}  // namespace amaranthlatch::directory
