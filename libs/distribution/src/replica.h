// The two states of a node: held (all entries received) and in force (held by enough witnesses).

#pragma once

#include <optional>
#include <vector>

#include "amaranthlatch/acceptance/state.h"
#include "amaranthlatch/distribution/counters.h"
#include "amaranthlatch/distribution/options.h"
#include "entry_tail.h"

namespace amaranthlatch::distribution::details {

enum class ApplyOutcome : std::uint8_t {
  kApplied,
  // The entry is at or below the held offset.
  kAlreadyHeld,
  kGap,
  // Application stops at this entry because the record's format is unknown.
  kStopped,
  kPatchMismatch,
};

class Replica {
 public:
  Replica(const Options& options, Counters& counters);

  // Invariant: the held offset never decreases, and the in-force offset never exceeds it.
  Offset HeldOffset() const { return this->held.HeadOffset(); }
  Offset InForceOffset() const { return this->in_force.HeadOffset(); }
  const acceptance::State& Held() const { return this->held; }
  const acceptance::State& InForce() const { return this->in_force; }
  const EntryTail& Tail() const { return this->tail; }
  std::optional<Offset> StoppedAt() const { return this->stopped_at; }

  ApplyOutcome ApplyRecord(Offset offset, const nlohmann::json& record);
  ApplyOutcome ApplyEntry(const Entry& entry);

  // Replaces the held state if `state` has a higher offset; returns whether it did.
  bool Install(acceptance::State state);

  // Puts entries up to `offset` in force and returns their verdicts. Entries that were received as
  // part of a snapshot have no verdicts.
  std::vector<acceptance::Verdict> PutInForce(Offset offset);

 private:
  ApplyOutcome ApplyNext(Entry wire, nlohmann::json record);

  Counters& counters;
  acceptance::State held;
  acceptance::State in_force;
  EntryTail tail;
  std::optional<Offset> stopped_at;
};

}  // namespace amaranthlatch::distribution::details
