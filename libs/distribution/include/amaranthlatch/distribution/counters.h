// Counters of the distribution reducer, for metrics.

#pragma once

#include <cstdint>

namespace amaranthlatch::distribution {

struct Counters {
  std::uint64_t entries_applied = 0;
  std::uint64_t entries_in_force = 0;
  std::uint64_t pushes_sent = 0;
  std::uint64_t pushes_received = 0;
  std::uint64_t push_timeouts = 0;
  // Entries sent in full, and entries sent or received as a JSON patch.
  std::uint64_t full_entries_sent = 0;
  std::uint64_t patch_entries_sent = 0;
  std::uint64_t patch_entries_received = 0;
  // Patches whose result did not match the expected record hash.
  std::uint64_t patch_mismatches = 0;
  // Pushes that start above the held offset.
  std::uint64_t entry_gaps = 0;
  std::uint64_t digests_sent = 0;
  // Digests and requests of peers that lacked entries of this node. Pushes along the tree are not
  // counted.
  std::uint64_t entry_repairs = 0;
  // Received digests whose state hash differs from the local one at the same offset.
  std::uint64_t state_hash_mismatches = 0;
  std::uint64_t snapshot_chunks_sent = 0;
  std::uint64_t snapshot_chunks_received = 0;
  std::uint64_t snapshots_installed = 0;
  std::uint64_t snapshots_rejected = 0;
  std::uint64_t snapshots_deferred = 0;
  // Complete snapshots written to, and installed from, the snapshot stream of the log.
  std::uint64_t snapshots_written = 0;
  std::uint64_t snapshots_read = 0;
  std::uint64_t snapshot_records_skipped = 0;
  std::uint64_t log_reads = 0;
  std::uint64_t log_failures = 0;
  std::uint64_t log_truncations = 0;
  std::uint64_t reader_takeovers = 0;
  std::uint64_t pauses = 0;
  // Messages dropped because their sender is not a live member.
  std::uint64_t non_member_messages = 0;

  bool operator==(const Counters&) const = default;
};

}  // namespace amaranthlatch::distribution
