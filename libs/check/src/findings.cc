// Rules of warnings.

#include "amaranthlatch/check/findings.h"

#include <algorithm>
#include <optional>
#include <string>

namespace amaranthlatch::check {

namespace {

using utils::ErrorCode;
using Warnings = std::vector<utils::Error>;

// Memory of a node (docs/design.md section 1.5), and the copies of a body that exist at once on its
// way through one (runtime/src/settings/memory_plan.h).
constexpr std::uint64_t kNodeBytes = 256'000'000;
constexpr std::uint64_t kRequestCopies = 7;
constexpr std::uint64_t kResponseCopies = 6;

std::string Milliseconds(utils::Duration duration) {
  constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;
  return std::to_string(duration.count() / kMicrosecondsPerMillisecond) + " ms";
}

void CheckSplit(const Entry& entry, const Configuration& configuration, Warnings& warnings) {
  for (std::size_t i = 0; i < entry.route.split.size(); ++i) {
    const document::SplitTarget& target = entry.route.split[i];
    const std::string name = target.service + (target.version.empty() ? "" : "/" + target.version) +
                             " of route " + entry.route.name;
    if (target.weight == 0) {
      warnings.push_back({ErrorCode::kTargetWithoutShare,
                          name + " has the weight 0 and gets no calls", entry.pointer});
    } else if (configuration.closed_services.contains(target.service)) {
      warnings.push_back({ErrorCode::kTargetWithoutServers,
                          name + " allows no connections to its backend servers", entry.pointer});
    }
  }
}

void CheckTimes(const Entry& entry, Warnings& warnings) {
  const document::Route& route = entry.route;
  if (route.deadline < route.target_latency) {
    warnings.push_back({ErrorCode::kTimeoutBelowTarget,
                        "the timeout of " + Milliseconds(route.deadline) +
                            " is below the target latency of " + Milliseconds(route.target_latency),
                        entry.pointer});
  }
  const utils::Duration needed = entry.attempt_time * static_cast<std::int64_t>(entry.attempts);
  if (entry.attempts > 1 && route.deadline < needed) {
    warnings.push_back({ErrorCode::kAttemptsExceedTimeout,
                        std::to_string(entry.attempts) + " attempts of " +
                            Milliseconds(entry.attempt_time) + " do not fit in the timeout of " +
                            Milliseconds(route.deadline),
                        entry.pointer});
  }
}

void CheckBodies(const Entry& entry, Warnings& warnings) {
  const auto check = [&](std::uint64_t bytes, std::uint64_t copies, const std::string& name) {
    if (bytes > kNodeBytes / copies) {
      warnings.push_back({ErrorCode::kBodyLimitAboveMemory,
                          name + " of " + std::to_string(bytes) +
                              " bytes do not fit in the memory of a node, which holds " +
                              std::to_string(copies) + " copies at once",
                          entry.pointer});
    }
  };
  check(entry.request_bytes, kRequestCopies, "requests");
  check(entry.response_bytes, kResponseCopies, "responses");
}

// The longest timeout of the routes that callers use directly; none if there are none.
std::optional<utils::Duration> LongestCall(const Configuration& configuration) {
  std::optional<utils::Duration> longest;
  for (const Entry& entry : configuration.entries) {
    if (entry.route.priority != document::Priority::kInternal) {
      longest = std::max(longest.value_or(utils::Duration{}), entry.route.deadline);
    }
  }
  return longest;
}

void CheckQuota(const Quota& quota, Warnings& warnings) {
  if (quota.rate > 0.0 && quota.rate < quota.burst) {
    warnings.push_back(
        {ErrorCode::kQuotaBelowBurst,
         "the quota of workspace " + quota.workspace + " is below the burst that it allows",
         quota.pointer});
  }
}

}  // namespace

Warnings FindWarnings(const Configuration& configuration) {
  Warnings warnings;
  const std::optional<utils::Duration> longest = LongestCall(configuration);
  for (const Entry& entry : configuration.entries) {
    if (!entry.is_reachable) {
      warnings.push_back({ErrorCode::kEntryNeverMatches,
                          "no request reaches route " + entry.route.name, entry.pointer});
    }
    CheckSplit(entry, configuration, warnings);
    CheckTimes(entry, warnings);
    if (longest && entry.route.priority == document::Priority::kInternal &&
        entry.route.deadline > *longest) {
      warnings.push_back({ErrorCode::kNestedCallOutlivesCaller,
                          "nested calls may take " + Milliseconds(entry.route.deadline) +
                              ", callers wait for at most " + Milliseconds(*longest),
                          entry.pointer});
    }
    CheckBodies(entry, warnings);
  }
  for (const Quota& quota : configuration.quotas) {
    CheckQuota(quota, warnings);
  }
  return warnings;
}

}  // namespace amaranthlatch::check
