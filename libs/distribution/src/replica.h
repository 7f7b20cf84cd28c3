// The two states of a node: held (all entries received) and in force (witnessed by others).

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
  // At or below the held offset.
  kAlreadyHeld,
  kGap,
  // The fold stops here: the record's format is unknown.
  kStopped,
  kPatchMismatch,
};

class Replica {
 public:
  Replica(const Options& options, Counters& counters);

  // Invariant: the held offset never falls, and the offset in force is never above it.
  Offset HeldOffset() const { return this->held.HeadOffset(); }
  Offset InForceOffset() const { return this->in_force.HeadOffset(); }
  const acceptance::State& Held() const { return this->held; }
  const acceptance::State& InForce() const { return this->in_force; }
  const EntryTail& Tail() const { return this->tail; }
  std::optional<Offset> StoppedAt() const { return this->stopped_at; }

  ApplyOutcome ApplyRecord(Offset offset, const nlohmann::json& record);
  ApplyOutcome ApplyEntry(const Entry& entry);

  // Replaces the held state where `state` is ahead of it.
  bool Install(acceptance::State state);

  // Puts entries up to `offset` in force and gives their verdicts. Verdicts of entries that came
  // with a snapshot are not given.
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
