// The directory reducer: tracks the members and the configuration of a mesh through a register.
//
// A register is a platform service that retains the newest record of every key indefinitely and
// serves linearizable reads. The nodes of a zone share the reads of one of them, its reader; every
// node is the only writer of its own record.
// The directory performs no failure detection: calls detect failures from their own attempts.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "amaranthlatch/directory/effect.h"
#include "amaranthlatch/directory/event.h"
#include "amaranthlatch/directory/options.h"
#include "amaranthlatch/membership/member_view.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::directory {

struct Counters {
  std::uint64_t reads = 0;
  std::uint64_t reads_failed = 0;
  // Reads abandoned because they did not return a configuration version that another node uses, or
  // because their response is overdue.
  std::uint64_t reads_abandoned = 0;
  std::uint64_t reads_overdue = 0;
  // Configurations requested from nodes that use a newer one.
  std::uint64_t configuration_requests = 0;
  // Notices of new versions sent to other zones, and received.
  std::uint64_t notices_sent = 0;
  std::uint64_t notices_received = 0;
  // Reads of the configuration by subscribers whose configuration was not confirmed in time.
  std::uint64_t checks = 0;
  // Listings requested; each reads the newest record of every key.
  std::uint64_t listings = 0;
  std::uint64_t writes = 0;
  std::uint64_t writes_failed = 0;
  std::uint64_t configurations_activated = 0;
  // Configurations ignored because their version is not above the one in force.
  std::uint64_t configurations_stale = 0;
  std::uint64_t members_changed = 0;
  // Member records ignored because they do not take precedence over the stored one.
  std::uint64_t members_stale = 0;
  // Updates for and from other nodes of the zone, and received ones that cannot be used.
  std::uint64_t updates_sent = 0;
  std::uint64_t updates_received = 0;
  std::uint64_t updates_unusable = 0;
  // Times that the register came back from an older copy, as far as noticed, and answers of before
  // that were received after it.
  std::uint64_t era_rises = 0;
  std::uint64_t answers_outdated = 0;
  // Records of this node that the register had acknowledged and lost.
  std::uint64_t own_records_lost = 0;
  // Other nodes that were told to write their record again.
  std::uint64_t owners_told = 0;
  // Changes between reading and each reader.
  std::uint64_t source_changes = 0;
  bool operator==(const Counters&) const = default;
};

struct Gauges {
  // Whether this node reads the register itself.
  bool reading = false;
  // Nodes that this one reads for.
  std::size_t subscribers = 0;
  bool operator==(const Gauges&) const = default;
};

// What this node knows of the configuration that it has in force.
struct ConfigurationStatus {
  // 0 for none.
  document::Version version = 0;
  // When it came into force here.
  utils::Timestamp in_force_since{};
  // The latest time at which the register is known to have held no newer one; none if unknown.
  std::optional<utils::Timestamp> confirmed_at;
  bool operator==(const ConfigurationStatus&) const = default;
};

class Directory {
 public:
  // Fails with kSettingsOutOfRange if `options` are invalid.
  static utils::Result<Directory> Create(const Options& options);

  Directory(Directory&&) noexcept;
  Directory& operator=(Directory&&) noexcept;
  ~Directory();

  // Applies an event and returns the effects to perform, in order.
  std::vector<Effect> Reduce(const Event& event, utils::Timestamp now);
  // When the next WakeUp event is due; none if there is nothing to wait for. Before the first event
  // this is the epoch of the clock, so that the first WakeUp is due at once.
  std::optional<utils::Timestamp> NextWake() const;

  const membership::MemberView& Members() const;
  // The configuration in force; null until the first one has been read.
  MeshConfiguration::Pointer Configuration() const;
  ConfigurationStatus GetConfigurationStatus() const;
  const Counters& GetCounters() const;
  Gauges GetGauges() const;

 private:
  struct Impl;
  explicit Directory(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl;
};

}  // namespace amaranthlatch::directory
