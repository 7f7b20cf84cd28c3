// What a gate remembers of attempts, so that no copy of a message runs a second time.

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

// 64-bit key of an attempt. Two attempts of one key would make the later one a duplicate of the
// earlier, which is never run: an accident loses a call to "unknown" and repeats none.
std::uint64_t KeyOf(const AttemptId& id);

// Remembers attempts that will never run. A Bloom filter: it never forgets before its time, and a
// false positive only refuses an attempt that has not run, which is then truthfully "not run".
class RefusalFilter {
 public:
  RefusalFilter(std::uint64_t bits, utils::Duration retention);

  void Add(std::uint64_t key);
  bool Contains(std::uint64_t key) const;
  // Forgets keys older than twice the time to keep; none younger than that time.
  void Expire(utils::Timestamp now);

 private:
  using Bits = std::vector<std::uint64_t>;
  static bool ContainedIn(const Bits& bits, std::uint64_t key, std::uint64_t mask);

  std::uint64_t mask;
  utils::Duration retention;
  // Keys are added to `current`; both are searched.
  Bits current;
  Bits previous;
  std::optional<utils::Timestamp> rotated_at;
};

enum class AttemptState : std::uint8_t { kQueued, kRunning, kRan, kNotRun };

class AttemptMemory {
 public:
  AttemptMemory(std::size_t capacity, std::uint64_t filter_bits, utils::Duration retention);

  // The state of an attempt that was admitted.
  std::optional<AttemptState> Find(std::uint64_t key) const;
  bool IsRefused(std::uint64_t key) const { return this->refused.Contains(key); }

  // True while no further attempt can be remembered exactly.
  bool IsFull() const { return this->attempts.size() >= this->capacity; }

  void Admit(std::uint64_t key);
  void SetRunning(std::uint64_t key);
  // The attempt's outcome is known; it is kept for the time from now on.
  void Finish(std::uint64_t key, bool ran, utils::Timestamp now);
  // The attempt was not admitted and never will be.
  void Refuse(std::uint64_t key) { this->refused.Add(key); }

  void Expire(utils::Timestamp now);
  std::size_t Size() const { return this->attempts.size(); }

 private:
  std::size_t capacity;
  utils::Duration retention;
  RefusalFilter refused;
  std::unordered_map<std::uint64_t, AttemptState> attempts;
  // Finished attempts by their time; every admitted attempt enters once.
  std::deque<std::pair<utils::Timestamp, std::uint64_t>> finished;
};

}  // namespace amaranthlatch::calls::details
