// Options of the membership reducer and their defaults (docs/design.md section 6).

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::membership {

struct Options {
  // Identity and address of this node.
  NodeId id;
  std::string region;
  std::string zone;
  std::string data_address;
  // Random number that distinguishes this process from earlier processes of the same node.
  std::uint64_t boot_id = 0;
  // Initial incarnation, until a peer reports a higher one for this id.
  std::uint64_t wall_time_ms = 0;
  // Seed of the random number generator.
  std::uint64_t seed = 0;
  // Nodes that receive join requests.
  std::vector<NodeId> seeds;

  // One zone member is probed per interval; gateways also probe one member of another zone.
  utils::Duration probe_interval = utils::Milliseconds(1000);
  // A probe that is not acknowledged within this time is repeated through `indirect_probes` peers.
  utils::Duration probe_timeout = utils::Milliseconds(500);
  // The probe fails if the indirect probes are not acknowledged within this time either.
  utils::Duration indirect_timeout = utils::Milliseconds(1000);
  std::uint32_t indirect_probes = 3;
  // Time from a failed probe until the member is declared dead.
  utils::Duration suspect_timeout = utils::Milliseconds(3000);

  // A mass failure starts a hold, in which no member is declared dead: within this window more
  // than `mass_failure_percent` of the zone, or of its recently probed members, and at least
  // `mass_failure_min_members` members failed.
  utils::Duration mass_failure_window = utils::Seconds(10);
  std::uint32_t mass_failure_percent = 20;
  std::uint32_t mass_failure_min_members = 3;
  // After this time in a hold, members that still do not respond are declared dead, so that the old
  // instances are removed if a zone's instances were replaced under other addresses. The limit
  // does not apply to a node that receives no messages at all.
  utils::Duration hold_limit = utils::Seconds(600);

  // Number of zone peers to which a node pushes a record that is new to it.
  std::uint32_t update_fanout = 3;
  // Records received within this time are batched into one message.
  utils::Duration update_delay = utils::Milliseconds(20);
  // Records of members that are draining, left or dead are pushed again after this time.
  utils::Duration update_repeat_delay = utils::Milliseconds(400);
  // Batching time for pushes to other zones; longer because the links between zones are slow.
  utils::Duration cross_zone_update_delay = utils::Milliseconds(100);

  // Maximum random delay before the first join request of a starting node.
  utils::Duration join_jitter = utils::Milliseconds(500);
  // Interval between join requests until a peer replies.
  utils::Duration join_retry_interval = utils::Milliseconds(1000);
  // Interval between probes of dead members and unknown seeds, which reconnect the two sides after
  // a network partition.
  utils::Duration rejoin_interval = utils::Seconds(5);
  // Records of dead members and members that left are removed after this time.
  utils::Duration tombstone_lifetime = utils::Seconds(600);
  // An event handled this late after the scheduled wake-up means that the process was paused.
  // Missing acknowledgements are then no evidence of a failure.
  utils::Duration pause_threshold = utils::Milliseconds(1000);

  // Maximum number of records in one page of a zone transfer.
  std::uint32_t records_per_page = 64;
  // Limit of concurrent zone transfers to peers; further requests are dropped, and the peer asks
  // again.
  std::uint32_t max_outgoing_transfers = 8;
  // Limit of concurrent zone transfers from peers.
  std::uint32_t max_incoming_transfers = 4;
};

}  // namespace amaranthlatch::membership
