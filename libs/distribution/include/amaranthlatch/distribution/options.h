// Settings of the distribution reducer.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "amaranthlatch/utils/result.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::distribution {

enum class SpreadKind : std::uint8_t { kTree, kGossip, kPoll };

enum class Profile : std::uint8_t { kNone, kConvergence, kBytes };

struct Options {
  // Seed of jitter and of the choice of peers.
  std::uint64_t seed = 0;
  SpreadKind spread = SpreadKind::kTree;
  // Region of the platform's log; readers without platform access ask there first. May be empty.
  std::string log_region;

  // Silence of the readers before a candidate by which its next one takes over.
  utils::Duration reader_takeover = utils::Milliseconds(1'500);
  utils::Duration reader_heartbeat = utils::Milliseconds(500);
  utils::Duration region_sync = utils::Milliseconds(2'000);
  utils::Duration anti_entropy = utils::Milliseconds(1'000);
  utils::Duration join_jitter = utils::Milliseconds(500);
  // Delay of a wake-up from which the node takes itself to have been paused.
  utils::Duration pause_threshold = utils::Milliseconds(1'000);

  // Children of a node in the tree of its zone.
  std::uint32_t fanout = 8;
  // With `tree`: further random zone peers that get each new entry.
  std::uint32_t gossip_copies = 0;
  // With `gossip`: random zone peers that get each new entry.
  std::uint32_t gossip_fanout = 3;
  // Other nodes of the zone that must hold an entry before it is in force.
  std::uint32_t witnesses = 2;

  std::size_t tail_entries = 4'096;
  std::size_t tail_bytes = std::size_t{16} << 20U;
  std::size_t push_bytes = std::size_t{256} << 10U;
  // An unacknowledged push counts as lost after this time and the peer as slow.
  utils::Duration push_timeout = utils::Milliseconds(1'000);

  // Longest wait and most records of one read of the log.
  utils::Duration poll_wait = utils::Seconds(10);
  std::uint32_t poll_records = 256;
  // Time beyond the poll's own wait after which an unanswered read is given up.
  utils::Duration read_timeout = utils::Milliseconds(2'000);
  utils::Duration backoff_min = utils::Milliseconds(100);
  utils::Duration backoff_max = utils::Milliseconds(2'000);

  // Interval at which a node that lacks entries or witnesses asks a peer.
  utils::Duration ask_interval = utils::Milliseconds(400);
  // Time without progress after which a node that starts goes to the log itself, and from there
  // to the stream of snapshots.
  utils::Duration log_fallback = utils::Milliseconds(1'500);
  // A node that knows no other member of its zone takes itself to be alone after this time.
  utils::Duration sole_member_timeout = utils::Milliseconds(2'000);

  std::uint32_t snapshot_transfers = 4;
  utils::Duration snapshot_chunk_interval = utils::Milliseconds(10);
  utils::Duration snapshot_chunk_timeout = utils::Milliseconds(1'000);
  utils::Duration snapshot_retry = utils::Milliseconds(1'000);
  // Records of the stream of snapshots that a node reads or appends in a second.
  std::uint32_t snapshot_records_per_second = 20;
  utils::Duration snapshot_check = utils::Seconds(5);
  // A snapshot in the stream is renewed when it is more records than this behind.
  std::uint64_t snapshot_max_lag = 1'000;
  // An unchanged state is written again after this time, because the log may keep records by age.
  utils::Duration snapshot_max_age = utils::Seconds(3'600);

  bool operator==(const Options&) const = default;
};

// Sets the intervals and degrees that belong to a profile.
Options ApplyProfile(Options options, Profile profile);

// Fails with kSettingsOutOfRange where a value cannot work.
utils::Result<void> Validate(const Options& options);

}  // namespace amaranthlatch::distribution
