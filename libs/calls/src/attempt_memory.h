// Deduplication of call attempts at a gate, so that a repeated message does not run again.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "amaranthlatch/calls/message.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls::details {

// Returns a 64-bit hash that identifies an attempt. On a collision the later attempt is treated as
// a duplicate and never runs: its call ends as "unknown", but no request runs twice.
std::uint64_t KeyOf(const AttemptId& id);

// Bloom filter of attempts that will never run. Keys are kept for at least the retention time. A
// false positive only refuses an attempt that has not run, so its "not run" outcome is correct.
class RefusalFilter {
 public:
  RefusalFilter(std::uint64_t bits, utils::Duration retention);

  void Add(std::uint64_t key);
  bool Contains(std::uint64_t key) const;
  // Removes keys older than twice the retention time, and none younger than the retention time.
  void Expire(utils::Timestamp now);

 private:
  using Bits = std::vector<std::uint64_t>;
  static bool ContainedIn(const Bits& bits, std::uint64_t key, std::uint64_t mask);

  std::uint64_t mask;
  utils::Duration retention;
  // Keys are added to `current`; lookups search both.
  Bits current;
  Bits previous;
  std::optional<utils::Timestamp> rotated_at;
};

enum class AttemptState : std::uint8_t { kQueued, kRunning, kRan, kNotRun };

class AttemptMemory {
 public:
  AttemptMemory(std::size_t capacity, std::uint64_t filter_bits, utils::Duration retention);

  // Returns the state of an admitted attempt, or nullopt if it is not tracked.
  std::optional<AttemptState> Find(std::uint64_t key) const;
  bool IsRefused(std::uint64_t key) const { return this->refused.Contains(key); }

  // Returns true if no further attempt can be admitted.
  bool IsFull() const { return this->attempts.size() >= this->capacity; }

  void Admit(std::uint64_t key);
  void SetRunning(std::uint64_t key);
  // Records the outcome of an attempt and keeps it for the retention time from `now`.
  void Finish(std::uint64_t key, bool ran, utils::Timestamp now);
  // Records that the attempt was refused and must never be admitted.
  void Refuse(std::uint64_t key) { this->refused.Add(key); }

  void Expire(utils::Timestamp now);
  std::size_t Size() const { return this->attempts.size(); }

 private:
  std::size_t capacity;
  utils::Duration retention;
  RefusalFilter refused;
  std::unordered_map<std::uint64_t, AttemptState> attempts;
  // Finished attempts in order of completion time; every admitted attempt is added once.
  std::deque<std::pair<utils::Timestamp, std::uint64_t>> finished;
};

}  // namespace amaranthlatch::calls::details
