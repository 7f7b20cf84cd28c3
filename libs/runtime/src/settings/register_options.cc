// Mapping of the settings of register mode.

#include "settings/register_options.h"

#include <algorithm>

#include "amaranthlatch/node/envelope.h"
#include "amaranthlatch/runtime/adapter.h"
#include "settings/descriptor_plan.h"

namespace amaranthlatch::runtime::details {

namespace {

// An attempt that reached no backend server may move this often.
constexpr std::uint32_t kFreeMoves = 3;
// Attempts have ids of their own, are sent once and end with their call: a short memory of few of
// them recognises every repeat that a link can make.
constexpr utils::Duration kLongestDeadline = utils::Seconds(30);
constexpr utils::Duration kMemoryMargin = utils::Seconds(2);
constexpr std::uint32_t kMemoryCapacity = 65'536;
constexpr std::uint64_t kRefusalFilterBits = 1ULL << 19U;
// A caller is told the end of its call within a quarter of a second of its deadline.
constexpr utils::Duration kFenceInterval = utils::Milliseconds(80);
constexpr utils::Duration kFenceTimeout = utils::Milliseconds(200);
// Backend servers here also shed at random while they are healthy. A limit that falls with every
// refusal then falls to one call at a time and takes minutes to rise again.
constexpr bool kAdaptiveLimit = false;
// Callers come back after a refusal with less time than their new request seems to have. Queues
// that fill the target latency answered 42% of the calls late at 1.3 times the capacity.
constexpr double kStandingQueueShare = 0.2;
// Connections between two nodes repeat no messages, and one that is lost loses those under way.
constexpr bool kTransportRepeats = false;
// The announced slots of a backend server decide; this is above all of them.
constexpr std::uint32_t kMaxSlots = 100'000;
// Far more than a queue of bounded wait can hold.
constexpr std::uint32_t kQueueLength = 256;
// Above the usual deadlines: the expected wait decides what is queued.
constexpr utils::Duration kQueueTime = utils::Seconds(10);
constexpr std::uint32_t kMaxAttempts = 2;
// A node that has just started cannot tell which of the servers that it meets have as well: with a
// slow start all of them would count as cold. The load that gates report shows cold ones soon
// enough.
constexpr utils::Duration kSlowStart = utils::Duration(0);
// Share of the permitted ratio and slack that is spent on retries; repeated calls may call further
// services, where they count as well.
constexpr double kRetryShare = 0.5;
constexpr double kPercent = 100.0;

// In a new mesh the backend servers announce themselves first, within their heartbeat interval.
constexpr utils::Duration kNewMeshDiscoveryTime = utils::Milliseconds(1500);
constexpr utils::Duration kNewMeshDiscoverySpread = utils::Milliseconds(2500);

// A crowded gate empties within a few answers; anything else takes a record of the register.
constexpr utils::Duration kCrowdedAdvice = utils::Milliseconds(200);
// A refusal by the backend server says nothing about a queue.
constexpr utils::Duration kShedAdvice = utils::Milliseconds(50);
constexpr utils::Duration kOtherAdvice = utils::Milliseconds(400);

// An attempt on a link that cannot be made is given up early enough to be made elsewhere.
constexpr utils::Duration kDialLimit = utils::Milliseconds(300);
// Between probes of a link; nng_transport.h tells after how many it is made anew.
constexpr utils::Duration kKeepAliveInterval = utils::Milliseconds(250);
constexpr double kBitsPerByte = 8.0;

}  // namespace

directory::ServiceDefaults MakeServiceDefaults(const RegisterSettings& settings) {
  directory::ServiceDefaults defaults;
  defaults.protection.slots = kMaxSlots;
  defaults.protection.queue_length = kQueueLength;
  defaults.protection.queue_time = kQueueTime;
  defaults.protection.retry_budget_percent =
      static_cast<std::uint32_t>(settings.retry_ratio * kRetryShare * kPercent);
  defaults.protection.max_attempts = kMaxAttempts;
  defaults.protection.slow_start = kSlowStart;
  return defaults;
}

node::RegisterNodeOptions MakeRegisterNodeOptions(const RegisterSettings& settings,
                                                  std::uint64_t seed, std::uint64_t boot_id) {
  node::RegisterNodeOptions options;
  options.secret = settings.secret;
  options.shutdown_time = settings.shutdown_limit - kExitTime - kFlushTime;
  options.directory.id = settings.node_address;
  options.directory.region = settings.region;
  options.directory.zone = settings.zone;
  options.directory.data_address = settings.data_address;
  options.directory.boot_id = boot_id;
  options.directory.seed = seed;
  options.directory.service_defaults = MakeServiceDefaults(settings);
  options.directory.mesh_is_new = settings.mesh_start == MeshStart::kNew;
  if (options.directory.mesh_is_new) {
    options.directory.discovery_time = kNewMeshDiscoveryTime;
    options.directory.discovery_spread = kNewMeshDiscoverySpread;
  }

  calls::Options& calls = options.calls;
  calls.seed = seed + 1;
  calls.entry.max_deadline = kLongestDeadline;
  const MemoryPlan memory = PlanMemory(settings);
  calls.entry.max_open_bytes = memory.request_bytes;
  calls.gate.max_admitted_bytes = memory.run_bytes;
  calls.entry.max_uncounted_moves = kFreeMoves;
  calls.gate.link_bits_per_second = static_cast<std::uint64_t>(settings.link_rate_bits_per_second);
  calls.entry.fence_retry_interval = kFenceInterval;
  calls.entry.fence_timeout = kFenceTimeout;
  calls.entry.retry_slack = settings.retry_slack * kRetryShare;
  calls.gate.adaptive_concurrency_limit = kAdaptiveLimit;
  calls.gate.standing_queue_share = kStandingQueueShare;
  calls.gate.retention_margin = kMemoryMargin;
  calls.gate.max_tracked_attempts = kMemoryCapacity;
  calls.gate.refusal_filter_bits = kRefusalFilterBits;
  calls.gate.transport_may_duplicate = kTransportRepeats;
  calls.crossing = {settings.crossing_zone, settings.crossing_region, settings.crossing_zone_per_kb,
                    settings.crossing_region_per_kb};
  if (settings.quota_window.count() > 0) {
    quota::Options quota;
    quota.id = settings.node_address;
    quota.zone = settings.zone;
    quota.boot_id = boot_id;
    quota.seed = seed + 3;
    quota.window = settings.quota_window;
    quota.overshoot = settings.quota_overshoot;
    quota.slack = settings.quota_slack;
    options.quota = quota;
  }
  if (settings.rollout_exposure_share > 0.0) {
    rollout::Options rollout;
    rollout.id = settings.node_address;
    rollout.boot_id = boot_id;
    rollout.seed = seed + 2;
    rollout.exposure_share = settings.rollout_exposure_share;
    rollout.exposure_slack = settings.rollout_exposure_slack;
    rollout.rollback = settings.rollout_stop_time;
    options.rollout = rollout;
  }
  return options;
}

NngTransportOptions MakeTransportOptions(const RegisterSettings& settings,
                                         const MemoryPlan& memory) {
  NngTransportOptions options;
  options.address = settings.node_address;
  options.secret = settings.secret;
  options.max_message_bytes = node::kMaxEnvelopeBytes;
  options.max_links = kMaxLinks;
  options.dial_limit = kDialLimit;
  options.keep_alive_interval = kKeepAliveInterval;
  options.link_bytes_per_second = settings.link_rate_bits_per_second / kBitsPerByte;
  options.max_bulk_bytes = memory.link_bytes;
  options.max_reassembly_bytes = memory.link_bytes;
  return options;
}

MemoryPlan PlanMemory(const RegisterSettings& settings) {
  return MakeMemoryPlan(settings.memory_limit_bytes, MaxCallerConnections(settings));
}

std::size_t MaxCallerConnections(const RegisterSettings& settings) {
  return settings.max_descriptors == 0
             ? settings.max_connections
             : std::min(settings.max_connections, CallerDescriptors(settings.max_descriptors));
}

}  // namespace amaranthlatch::runtime::details

namespace amaranthlatch::runtime {

utils::Duration RetryAdvice(utils::ErrorCode code) {
  switch (code) {
    case utils::ErrorCode::kQueueFull:
      return details::kCrowdedAdvice;
    case utils::ErrorCode::kBackendShed:
      return details::kShedAdvice;
    default:
      return details::kOtherAdvice;
  }
}

}  // namespace amaranthlatch::runtime
