// Implementation of option profiles and validation.

#include "amaranthlatch/distribution/options.h"

#include <array>

namespace amaranthlatch::distribution {

namespace {

constexpr std::uint32_t kMaxFanout = 64;
constexpr std::uint32_t kMaxWitnesses = 8;

struct NamedDuration {
  const char* name;
  utils::Duration value;
};

struct NamedCount {
  const char* name;
  std::uint64_t value;
  std::uint64_t min;
  std::uint64_t max;
};

}  // namespace

Options ApplyProfile(Options options, Profile profile) {
  if (profile == Profile::kConvergence) {
    options.anti_entropy = utils::Milliseconds(500);
    options.fanout = 8;
    options.gossip_copies = 1;
  }
  if (profile == Profile::kBytes) {
    options.anti_entropy = utils::Milliseconds(2'000);
    options.fanout = 8;
    options.gossip_copies = 0;
  }
  return options;
}

utils::Result<void> Validate(const Options& options) {
  const std::array durations = {
      NamedDuration{"reader_takeover_ms", options.reader_takeover},
      NamedDuration{"reader_heartbeat_ms", options.reader_heartbeat},
      NamedDuration{"region_sync_ms", options.region_sync},
      NamedDuration{"anti_entropy_ms", options.anti_entropy},
      NamedDuration{"pause_threshold_ms", options.pause_threshold},
      NamedDuration{"push_timeout_ms", options.push_timeout},
      NamedDuration{"read_timeout_ms", options.read_timeout},
      NamedDuration{"backoff_min_ms", options.backoff_min},
      NamedDuration{"ask_interval_ms", options.ask_interval},
      NamedDuration{"log_fallback_ms", options.log_fallback},
      NamedDuration{"snapshot_chunk_interval_ms", options.snapshot_chunk_interval},
      NamedDuration{"snapshot_chunk_timeout_ms", options.snapshot_chunk_timeout},
      NamedDuration{"snapshot_retry_ms", options.snapshot_retry},
      NamedDuration{"snapshot_check_ms", options.snapshot_check},
  };
  for (const NamedDuration& duration : durations) {
    if (duration.value < utils::Milliseconds(1)) {
      return utils::Fail(utils::ErrorCode::kSettingsOutOfRange,
                         std::string(duration.name) + " must be at least 1");
    }
  }
  const std::array counts = {
      NamedCount{"fanout", options.fanout, 1, kMaxFanout},
      NamedCount{"gossip_copies", options.gossip_copies, 0, kMaxFanout},
      NamedCount{"gossip_fanout", options.gossip_fanout, 1, kMaxFanout},
      NamedCount{"witnesses", options.witnesses, 0, kMaxWitnesses},
      NamedCount{"tail_entries", options.tail_entries, 1, 1'000'000},
      NamedCount{"tail_bytes", options.tail_bytes, 1, std::uint64_t{1} << 30U},
      NamedCount{"push_bytes", options.push_bytes, 1, std::uint64_t{1} << 20U},
      NamedCount{"poll_records", options.poll_records, 1, 10'000},
      NamedCount{"snapshot_transfers", options.snapshot_transfers, 1, 1'000},
      NamedCount{"snapshot_records_per_second", options.snapshot_records_per_second, 1, 1'000},
  };
  for (const NamedCount& count : counts) {
    if (count.value < count.min || count.value > count.max) {
      return utils::Fail(utils::ErrorCode::kSettingsOutOfRange,
                         std::string(count.name) + " must be between " + std::to_string(count.min) +
                             " and " + std::to_string(count.max));
    }
  }
  if (options.backoff_max < options.backoff_min) {
    return utils::Fail(utils::ErrorCode::kSettingsOutOfRange,
                       "backoff_max_ms must not be below backoff_min_ms");
  }
  return {};
}

}  // namespace amaranthlatch::distribution
