// Options of the distribution reducer, their profiles and validation.

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
  // Seed for timer jitter and random peer selection.
  std::uint64_t seed = 0;
  SpreadKind spread = SpreadKind::kTree;
  // Region that hosts the platform's log. Readers that cannot reach the log prefer peers there.
  // May be empty.
  std::string log_region;

  // A candidate takes over if no higher-ranked reader has sent a heartbeat for this time.
  utils::Duration reader_takeover = utils::Milliseconds(1'500);
  utils::Duration reader_heartbeat = utils::Milliseconds(500);
  utils::Duration region_sync = utils::Milliseconds(2'000);
  utils::Duration anti_entropy = utils::Milliseconds(1'000);
  utils::Duration join_jitter = utils::Milliseconds(500);
  // A wake-up later than this is treated as a pause of the process.
  utils::Duration pause_threshold = utils::Milliseconds(1'000);

  // Children of a node in the distribution tree of its zone.
  std::uint32_t fanout = 8;
  // With kTree: additional random zone peers that each new entry is pushed to.
  std::uint32_t gossip_copies = 0;
  // With kGossip: random zone peers that each new entry is pushed to.
  std::uint32_t gossip_fanout = 3;
  // Number of other nodes in the zone that must hold an entry before it comes into force.
  std::uint32_t witnesses = 2;

  std::size_t tail_entries = 4'096;
  std::size_t tail_bytes = std::size_t{16} << 20U;
  std::size_t push_bytes = std::size_t{256} << 10U;
  // A push without acknowledgement counts as lost after this time, and the peer as unreachable.
  utils::Duration push_timeout = utils::Milliseconds(1'000);

  // Maximum long-poll time and record count of one log read.
  utils::Duration poll_wait = utils::Seconds(10);
  std::uint32_t poll_records = 256;
  // A log read without response is abandoned this long after its long-poll time.
  utils::Duration read_timeout = utils::Milliseconds(2'000);
  utils::Duration backoff_min = utils::Milliseconds(100);
  utils::Duration backoff_max = utils::Milliseconds(2'000);

  // Interval at which a node that lacks entries or witnesses sends a request to a peer.
  utils::Duration ask_interval = utils::Milliseconds(400);
  // Time without progress after which a starting node reads the log itself, and then the snapshot
  // stream.
  utils::Duration log_fallback = utils::Milliseconds(1'500);
  // A node that knows no other member of its zone treats itself as the only one after this time.
  utils::Duration sole_member_timeout = utils::Milliseconds(2'000);

  std::uint32_t snapshot_transfers = 4;
  utils::Duration snapshot_chunk_interval = utils::Milliseconds(10);
  utils::Duration snapshot_chunk_timeout = utils::Milliseconds(1'000);
  utils::Duration snapshot_retry = utils::Milliseconds(1'000);
  // Maximum rate at which a node reads or appends records of the snapshot stream.
  std::uint32_t snapshot_records_per_second = 20;
  utils::Duration snapshot_check = utils::Seconds(5);
  // A new snapshot is written once the newest one in the stream lags by more records than this.
  std::uint64_t snapshot_max_lag = 1'000;
  // An unchanged state is written again after this time, because the log may expire records by age.
  utils::Duration snapshot_max_age = utils::Seconds(3'600);

  bool operator==(const Options&) const = default;
};

// Overrides the anti-entropy interval, fanout and gossip copies with those of the profile.
Options ApplyProfile(Options options, Profile profile);

// Fails with kSettingsOutOfRange if a value is outside its permitted range.
utils::Result<void> Validate(const Options& options);

}  // namespace amaranthlatch::distribution
