// Settings of the directory reducer with units and defaults.

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
  // Random number of this process.
  std::uint64_t boot_id = 0;
  std::uint64_t seed = 0;

  // Longest wait of one read at the register.
  utils::Duration max_read_wait = utils::Seconds(20);
  // Pauses between two reads: changes that follow each other closely are read together. The sum
  // of pause and transfer has to stay well below the time in which a change must be in force.
  utils::Duration configuration_read_delay = utils::Milliseconds(700);
  utils::Duration members_read_delay = utils::Milliseconds(500);
  // Time for which a version that another node acts on may be missing here before the read under
  // way is taken as lost: above the pause and the transfer of a read that is well.
  utils::Duration stale_configuration_timeout = utils::Milliseconds(1000);
  // Delays before a failed read or write is repeated; they double from the first to the longest.
  utils::Duration initial_retry_delay = utils::Milliseconds(150);
  utils::Duration max_retry_delay = utils::Milliseconds(1000);
};

}  // namespace amaranthlatch::directory
