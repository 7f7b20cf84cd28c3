// Settings of the membership reducer with their defaults (docs/design.md section 6).

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::membership {

struct Options {
  // Identity of this node.
  NodeId id;
  std::string region;
  std::string zone;
  std::string data_address;
  std::uint64_t boot_id = 0;
  // First incarnation, until a peer reports a higher one for this address.
  std::uint64_t wall_time_ms = 0;
  std::uint64_t seed = 0;
  std::vector<NodeId> seeds;

  // Each interval one zone member is probed; a gateway also probes one member of another zone.
  utils::Duration probe_interval = utils::Milliseconds(1000);
  // A probe without an answer for this long is repeated through `indirect_probes` peers.
  utils::Duration probe_timeout = utils::Milliseconds(500);
  // The probe has failed when the indirect probes have no answer for this long either.
  utils::Duration indirect_timeout = utils::Milliseconds(1000);
  std::uint32_t indirect_probes = 3;
  // From a failed probe until the member is declared dead.
  utils::Duration suspect_timeout = utils::Milliseconds(3000);

  // Hold: more than `hold_share_percent` of the zone, and at least `hold_min_failures` members,
  // failed within `hold_window`.
  utils::Duration mass_failure_window = utils::Seconds(10);
  std::uint32_t mass_failure_percent = 20;
  std::uint32_t mass_failure_min_members = 3;
  // Members that failed together and do not return are declared dead after this time, so that a
  // zone whose instances were replaced under other addresses forgets the old ones. A node that
  // hears from nobody holds without a limit.
  utils::Duration hold_limit = utils::Seconds(600);

  // Zone peers to which a new record is pushed on first receipt.
  std::uint32_t update_fanout = 3;
  // Records that arrive within this time are pushed in one message.
  utils::Duration update_delay = utils::Milliseconds(20);
  // News of members that leave or died are pushed a second time after this long.
  utils::Duration update_repeat_delay = utils::Milliseconds(400);
  // The same as update_delay for pushes between zones, which cross slow links.
  utils::Duration cross_zone_update_delay = utils::Milliseconds(100);

  // A starting node waits up to this long before its first join request.
  utils::Duration join_jitter = utils::Milliseconds(500);
  // Interval between join requests while no peer has answered.
  utils::Duration join_retry_interval = utils::Milliseconds(1000);
  // Interval between probes of a dead member or an unlisted seed, which rejoin a healed partition.
  utils::Duration rejoin_interval = utils::Seconds(5);
  // Records of dead members and of members that left are dropped after this time.
  utils::Duration tombstone_lifetime = utils::Seconds(600);
  // A wake-up later than this means the process was paused: overdue answers prove nothing.
  utils::Duration pause_threshold = utils::Milliseconds(1000);

  // Records in one page of a transfer.
  std::uint32_t records_per_page = 64;
  // Zone transfers that are sent at the same time; further requests are dropped and repeated.
  std::uint32_t max_outgoing_transfers = 8;
  // Zone transfers that are asked for at the same time.
  std::uint32_t max_incoming_transfers = 4;
};

}  // namespace amaranthlatch::membership
