// Options of the directory reducer.

#pragma once

#include <cstdint>
#include <string>

#include "amaranthlatch/directory/mesh_configuration.h"
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

  // Longest time that the register holds a read open while there are no new records. A lost
  // response shows only after it, so reads of the configuration end early enough to find that in
  // time. With more zones they may last longer, because readers notify each other of new versions.
  utils::Duration configuration_read_wait_per_zone = utils::Milliseconds(400);
  utils::Duration min_configuration_read_wait = utils::Milliseconds(800);
  utils::Duration max_configuration_read_wait = utils::Seconds(2);
  utils::Duration members_read_wait = utils::Seconds(20);
  // Time after the end of the wait within which the response of the register must begin.
  utils::Duration read_response_tolerance = utils::Milliseconds(400);
  // A reader plans its reads so that the register confirms its configuration at this interval, by a
  // read of its own or of a reader of another zone; without confirmation it reads after the limit.
  utils::Duration confirmation_interval = utils::Milliseconds(1300);
  utils::Duration confirmation_limit = utils::Milliseconds(1400);
  // A read that starts so soon after a confirmation may wait for its whole time.
  utils::Duration min_confirmed_wait = utils::Milliseconds(400);
  // Added to both for each zone before its own, so that few readers act at the same time.
  utils::Duration confirmation_interval_step = utils::Milliseconds(700);
  utils::Duration confirmation_limit_step = utils::Milliseconds(30);
  // Time without confirmation after which the best candidates of a zone start to read, one after
  // the other, and after which any node reads the configuration once. The latter must be below the
  // time within which a change has to take effect by the time of a listing.
  utils::Duration takeover_time = utils::Milliseconds(1800);
  utils::Duration takeover_step = utils::Milliseconds(100);
  utils::Duration check_time = utils::Milliseconds(2100);
  // Times without checks after a slow and a failed one. The register may have recovered just before
  // either ends, so that they count from the time at which nodes have to be up to date again.
  utils::Duration slow_check_pause = utils::Milliseconds(2500);
  utils::Duration failed_check_pause = utils::Milliseconds(1300);
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

  // Longest time by which a node puts off the write of a record that the register has lost.
  utils::Duration lost_record_spread = utils::Milliseconds(800);

  // Whether the nodes of a zone share the reads of one of them (reader_selection.h).
  bool share_reads = true;
  // Whether the mesh starts for the first time: no node has a predecessor, and all of them start at
  // once. The node then waits for a reader before it reads; otherwise it lists the members first.
  bool mesh_is_new = false;
  // Longest wait for a reader after the start: `discovery_time` for the best candidate of the zone,
  // up to `discovery_spread` longer for the others.
  utils::Duration discovery_time = utils::Milliseconds(600);
  utils::Duration discovery_spread{};
  // Interval of the requests of a subscriber: grows with the number of members of the zone, because
  // one node answers all of them.
  utils::Duration request_interval_per_member = utils::Milliseconds(30);
  utils::Duration min_request_interval = utils::Milliseconds(400);
  utils::Duration max_request_interval = utils::Milliseconds(1000);
  // Interval of the requests of a subscriber whose configuration is not confirmed in time.
  utils::Duration repeated_request_interval = utils::Milliseconds(250);
  // Time that a candidate has to answer a first request.
  utils::Duration reader_answer_timeout = utils::Milliseconds(700);
  // Time after which a newer version that other nodes use shows that the reader is outdated. Must
  // exceed the read delay of the reader.
  utils::Duration stale_reader_timeout = utils::Milliseconds(1500);
  // For how long candidates are avoided that gave no answer, or whose reads fail.
  utils::Duration silent_reader_avoidance = utils::Seconds(10);
  utils::Duration failing_reader_avoidance = utils::Seconds(3);
  // Time of failing reads after which a reader says so, and after which the subscribers try to
  // read, one after the other: the best three at this step, the others later.
  utils::Duration failing_reads_tolerance = utils::Milliseconds(500);
  utils::Duration failing_reader_step = utils::Milliseconds(200);
  utils::Duration late_failover_delay = utils::Seconds(10);
  // The same for a subscriber whose own read has succeeded meanwhile.
  utils::Duration checked_failover_step = utils::Milliseconds(10);
  utils::Duration max_checked_failover = utils::Milliseconds(100);
  // How often a node that reads without subscribers looks for a reader, and how often a reader
  // announces itself to members that do not subscribe.
  utils::Duration reader_search_interval = utils::Seconds(2);
  utils::Duration announcement_interval = utils::Seconds(10);
  // Settings of all services, for configurations that other nodes pass on.
  ServiceDefaults service_defaults;
};

}  // namespace amaranthlatch::directory
