// Mapping of settings.

#include "settings/node_options.h"

namespace amaranthlatch::runtime::details {

node::NodeOptions MakeNodeOptions(const Settings& settings, std::uint64_t seed,
                                  std::uint64_t boot_id, std::uint64_t wall_time_ms) {
  node::NodeOptions options;
  options.id = settings.node_address;
  options.region = settings.region;
  options.zone = settings.zone;
  options.data_address = settings.data_address;
  options.seeds = settings.seeds;
  options.seed = seed;
  options.boot_id = boot_id;
  options.wall_time_ms = wall_time_ms;
  options.secret = settings.secret;

  options.membership.probe_interval = settings.probe_interval;
  options.membership.suspect_timeout = settings.suspect_timeout;
  options.membership.join_jitter = settings.join_jitter;
  options.membership.pause_threshold = settings.pause_threshold;

  distribution::Options& distribution = options.distribution;
  distribution = distribution::ApplyProfile(distribution, settings.profile);
  distribution.spread = settings.spread;
  distribution.log_region = settings.log_region;
  distribution.reader_takeover = settings.reader_takeover;
  distribution.region_sync = settings.region_sync;
  distribution.pause_threshold = settings.pause_threshold;
  distribution.join_jitter = settings.join_jitter;
  if (settings.anti_entropy) {
    distribution.anti_entropy = *settings.anti_entropy;
  }
  return options;
}

}  // namespace amaranthlatch::runtime::details
