// Attempt states and a rotating Bloom filter of refused attempts.

#include "attempt_memory.h"

#include <algorithm>

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::calls::details {

namespace {
constexpr int kHashCount = 4;
constexpr unsigned kWordBits = 64;
constexpr std::uint64_t kHashSeed = 0x9e3779b97f4a7c15ULL;
}  // namespace

std::uint64_t KeyOf(const AttemptId& id) {
  const std::uint64_t numbers = utils::CombineHash(id.call, id.attempt);
  return utils::Hash64(id.entry, utils::CombineHash(id.entry_boot_id, numbers));
}

RefusalFilter::RefusalFilter(std::uint64_t bits, utils::Duration retention)
    : mask(bits - 1), retention(retention), current(bits / kWordBits), previous(bits / kWordBits) {}

void RefusalFilter::Add(std::uint64_t key) {
  const std::uint64_t step = utils::CombineHash(key, kHashSeed) | 1U;
  for (int i = 0; i < kHashCount; ++i, key += step) {
    const std::uint64_t bit = key & this->mask;
    this->current[bit / kWordBits] |= 1ULL << (bit % kWordBits);
  }
}

bool RefusalFilter::ContainedIn(const Bits& bits, std::uint64_t key, std::uint64_t mask) {
  const std::uint64_t step = utils::CombineHash(key, kHashSeed) | 1U;
  for (int i = 0; i < kHashCount; ++i, key += step) {
    const std::uint64_t bit = key & mask;
    if ((bits[bit / kWordBits] & (1ULL << (bit % kWordBits))) == 0) {
      return false;
    }
  }
  return true;
}

bool RefusalFilter::Contains(std::uint64_t key) const {
  return ContainedIn(this->current, key, this->mask) ||
         ContainedIn(this->previous, key, this->mask);
}

void RefusalFilter::Expire(utils::Timestamp now) {
  if (!this->rotated_at) {
    this->rotated_at = now;
  }
  if (now - *this->rotated_at < this->retention) {
    return;
  }
  this->rotated_at = now;
  this->current.swap(this->previous);
  std::fill(this->current.begin(), this->current.end(), 0);
}

AttemptMemory::AttemptMemory(std::size_t capacity, std::uint64_t filter_bits,
                             utils::Duration retention)
    : capacity(capacity), retention(retention), refused(filter_bits, retention) {}

std::optional<AttemptState> AttemptMemory::Find(std::uint64_t key) const {
  const auto found = this->attempts.find(key);
  if (found == this->attempts.end()) {
    return std::nullopt;
  }
  return found->second;
}

void AttemptMemory::Admit(std::uint64_t key) { this->attempts.emplace(key, AttemptState::kQueued); }

void AttemptMemory::SetRunning(std::uint64_t key) { this->attempts[key] = AttemptState::kRunning; }

void AttemptMemory::Finish(std::uint64_t key, bool ran, utils::Timestamp now) {
  this->attempts[key] = ran ? AttemptState::kRan : AttemptState::kNotRun;
  this->finished.emplace_back(now, key);
}

void AttemptMemory::Expire(utils::Timestamp now) {
  this->refused.Expire(now);
  while (!this->finished.empty() && now - this->finished.front().first >= this->retention) {
    this->attempts.erase(this->finished.front().second);
    this->finished.pop_front();
  }
}

}  // namespace amaranthlatch::calls::details
