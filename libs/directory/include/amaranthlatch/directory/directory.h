// The directory reducer: members and configuration of a mesh by way of a register.
//
// A register is a service of the platform that keeps the newest record of every key for good and
// gives linearizable answers. Every node reads it directly; each is the only writer of its own
// record. Nothing here detects failures: calls learn those from their own attempts.

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
  // Reads without an answer to a change that other nodes knew.
  std::uint64_t reads_abandoned = 0;
  std::uint64_t listings = 0;
  std::uint64_t writes = 0;
  std::uint64_t writes_failed = 0;
  std::uint64_t configurations_activated = 0;
  std::uint64_t configurations_stale = 0;
  std::uint64_t members_changed = 0;
  std::uint64_t members_stale = 0;
  bool operator==(const Counters&) const = default;
};

class Directory {
 public:
  // Fails with kSettingsOutOfRange.
  static utils::Result<Directory> Create(const Options& options);

  Directory(Directory&&) noexcept;
  Directory& operator=(Directory&&) noexcept;
  ~Directory();

  std::vector<Effect> Reduce(const Event& event, utils::Timestamp now);
  // Before the first event this is the start of the clock.
  std::optional<utils::Timestamp> NextWake() const;

  const membership::MemberView& Members() const;
  // Null before the first configuration is known.
  MeshConfiguration::Pointer Configuration() const;
  const Counters& GetCounters() const;

 private:
  struct Impl;
  explicit Directory(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl;
};

}  // namespace amaranthlatch::directory
