// Value types of a service document: routing, traffic split, overload protection and locality.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::document {

// Document version: the offset of its record in the log. 0 means none.
using Version = std::uint64_t;

using Labels = std::map<std::string, std::string>;

// Scheduling priority at a backend server under load; lower values are served first.
enum class Priority : std::uint8_t { kInternal = 0, kInteractive = 1, kNormal = 2, kBatch = 3 };
inline constexpr std::size_t kPriorityCount = 4;

// Selects the backend servers of a version: those whose labels include all of these.
struct VersionSelector {
  Labels labels;

  bool operator==(const VersionSelector&) const = default;
};

struct SplitTarget {
  // Never empty after parsing; defaults to the service of the document.
  std::string service;
  std::string version;
  std::uint32_t weight = 0;

  bool operator==(const SplitTarget&) const = default;
};

struct Route {
  std::string name;
  std::string path_prefix;
  // An empty list matches every method.
  std::vector<std::string> methods;
  // At least one target with a weight above 0.
  std::vector<SplitTarget> split;
  bool idempotent = false;
  bool permit_required = false;
  // Refuses calls of a target without free capacity instead of moving them to other targets. Not
  // part of the document format; nor are is_public, max_attempts and target_latency below.
  bool strict_split = false;
  // Whether calls need no key of a workspace; without effect if there are no workspaces.
  bool is_public = false;
  // Maximum number of backend servers tried per call; 0 uses Protection::max_attempts.
  std::uint32_t max_attempts = 0;
  Priority priority = Priority::kNormal;
  utils::Duration deadline{};
  // Time within which a response is most useful; zero if the route sets none.
  utils::Duration target_latency{};
  std::uint64_t max_request_bytes = 0;
  std::uint64_t max_response_bytes = 0;

  bool operator==(const Route&) const = default;
};

struct Protection {
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  // Maximum number of queued calls per priority class.
  std::uint32_t queue_length = 0;
  utils::Duration queue_time{};
  std::uint32_t retry_budget_percent = 0;
  std::uint32_t max_attempts = 0;
  utils::Duration slow_start{};

  bool operator==(const Protection&) const = default;
};

enum class LocalityPreference : std::uint8_t { kZone, kRegion, kNone };

struct Locality {
  LocalityPreference prefer = LocalityPreference::kZone;
  // Slot utilization of a locality level, in percent, above which calls go to the next level.
  std::uint32_t spill_load_percent = 0;

  bool operator==(const Locality&) const = default;
};

struct ServiceDocument {
  std::string service;
  std::string owner;
  std::vector<std::string> hosts;
  std::map<std::string, VersionSelector> versions;
  std::vector<Route> routes;
  Protection protection;
  Locality locality;

  bool operator==(const ServiceDocument&) const = default;
};

}  // namespace amaranthlatch::document
