// Application of entries to the held and in-force states.

#include "replica.h"

#include <utility>

#include "difference.h"

namespace amaranthlatch::distribution::details {

Replica::Replica(const Options& options, Counters& counters)
    : counters(counters), tail(options.tail_entries, options.tail_bytes) {
  this->tail.Reset(this->held.HeadOffset(), this->held.Hash());
}

ApplyOutcome Replica::ApplyRecord(Offset offset, const nlohmann::json& record) {
  if (offset <= this->HeldOffset()) {
    return ApplyOutcome::kAlreadyHeld;
  }
  if (offset != this->HeldOffset() + 1) {
    return ApplyOutcome::kGap;
  }
  return this->ApplyNext(MakeEntry(offset, record, this->held), record);
}

ApplyOutcome Replica::ApplyEntry(const Entry& entry) {
  if (entry.offset <= this->HeldOffset()) {
    return ApplyOutcome::kAlreadyHeld;
  }
  if (entry.offset != this->HeldOffset() + 1) {
    return ApplyOutcome::kGap;
  }
  utils::Result<nlohmann::json> record = RestoreRecord(entry, this->held);
  if (!record) {
    ++this->counters.patch_mismatches;
    return ApplyOutcome::kPatchMismatch;
  }
  if (entry.patch_base != 0) {
    ++this->counters.patch_entries_received;
  }
  return this->ApplyNext(entry, std::move(*record));
}

ApplyOutcome Replica::ApplyNext(Entry wire, nlohmann::json record) {
  const Offset offset = wire.offset;
  utils::Result<acceptance::Verdict> verdict = this->held.Apply(offset, record);
  if (!verdict) {
    this->stopped_at = offset;
    return ApplyOutcome::kStopped;
  }
  ++this->counters.entries_applied;
  TailEntry entry{.wire = std::move(wire),
                  .record = std::move(record),
                  .verdict = std::move(*verdict),
                  .hash = this->held.Hash()};
  entry.bytes = CborSize(entry.record) + CborSize(entry.wire.record);
  this->tail.Append(std::move(entry));
  return ApplyOutcome::kApplied;
}

bool Replica::Install(acceptance::State state) {
  if (state.HeadOffset() <= this->HeldOffset()) {
    return false;
  }
  this->held = std::move(state);
  this->tail.Reset(this->held.HeadOffset(), this->held.Hash());
  if (this->stopped_at && *this->stopped_at <= this->held.HeadOffset()) {
    this->stopped_at.reset();
  }
  return true;
}

std::vector<acceptance::Verdict> Replica::PutInForce(Offset offset) {
  std::vector<acceptance::Verdict> verdicts;
  const Offset before = this->InForceOffset();
  const bool all_held = offset >= this->HeldOffset();
  const Offset last = all_held ? this->HeldOffset() : offset;
  if (!all_held && !this->tail.Covers(before)) {
    // The in-force state can only be replaced by the complete held state: the intermediate entries
    // were received as part of a snapshot.
    return verdicts;
  }
  for (Offset next = before + 1; next <= last; ++next) {
    const TailEntry* entry = this->tail.Find(next);
    if (entry == nullptr) {
      continue;
    }
    if (!all_held && !this->in_force.Apply(next, entry->record)) {
      break;
    }
    verdicts.push_back(entry->verdict);
  }
  if (all_held) {
    this->in_force = this->held;
  }
  this->counters.entries_in_force += this->InForceOffset() - before;
  return verdicts;
}

}  // namespace amaranthlatch::distribution::details
