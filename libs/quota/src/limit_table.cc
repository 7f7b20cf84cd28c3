// Comparison of limits before and after a change.

#include "limit_table.h"

#include <algorithm>
#include <array>
#include <bit>
#include <utility>

#include "amaranthlatch/utils/hash.h"
#include "seconds.h"

namespace amaranthlatch::quota::details {

namespace {

constexpr std::uint32_t kTagMask = 0xFFFF;
// How much of the allowance for overshoot of the burst, and of the slack, is given out as credit.
// The rest covers what the construction does not: the time between admission and run, clocks that
// run at different rates, and nodes that joined while others could not learn of them.
constexpr double kUsedAllowance = 0.7;
// Buckets below 0.35 s of refill overflow between two requests of another holder; above that, more
// only weakens the bound. Beyond the burst they get at least 0.05 s and at most 0.2 s.
constexpr double kUsefulBucketSeconds = 0.35;
constexpr double kMinExtraSeconds = 0.05;
constexpr double kMaxExtraSeconds = 0.2;
constexpr double kMaxShareOfRoom = 0.8;

bool IsLimited(const Limit& limit) { return limit.rate > 0.0; }

}  // namespace

double MaxCredit(const Limit& limit, const Options& options) {
  const double extra = std::clamp(kUsefulBucketSeconds * limit.rate - limit.burst,
                                  kMinExtraSeconds * limit.rate, kMaxExtraSeconds * limit.rate);
  // Granted credit exists for one lifetime beyond what the buckets hold.
  const double room = limit.rate * (options.overshoot * ToSeconds(options.window) -
                                    ToSeconds(options.credit_lifetime));
  const double burst =
      limit.burst + kUsedAllowance * (options.overshoot * limit.burst + options.slack);
  return std::max(0.0, burst + std::min(extra, room > 0.0 ? kMaxShareOfRoom * room : room));
}

std::uint32_t LimitTag(const Limit& limit) {
  const auto hash = utils::CombineHash(std::bit_cast<std::uint64_t>(limit.rate),
                                       std::bit_cast<std::uint64_t>(limit.burst));
  return static_cast<std::uint32_t>(hash) & kTagMask;
}

std::vector<std::string> LimitTable::Update(LimitsPointer from, utils::Timestamp now) {
  static const Limits none;
  const LimitsPointer previous = std::exchange(this->limits, std::move(from));
  const Limits& before = previous == nullptr ? none : *previous;
  const Limits& after = this->limits == nullptr ? none : *this->limits;
  this->has_limits = std::any_of(after.begin(), after.end(),
                                 [](const auto& entry) { return IsLimited(entry.second); });
  std::erase_if(this->lowered_at, [this, now](const auto& entry) {
    return now - entry.second > this->options.idle_time;
  });
  std::vector<std::string> changed;
  auto old = before.begin();
  auto next = after.begin();
  while (old != before.end() || next != after.end()) {
    if (next == after.end() || (old != before.end() && old->first < next->first)) {
      changed.push_back((old++)->first);
    } else if (old == before.end() || next->first < old->first) {
      changed.push_back((next++)->first);
    } else {
      if (old->second != next->second) {
        changed.push_back(next->first);
        if (!IsLimited(old->second) || next->second.rate < old->second.rate ||
            next->second.burst < old->second.burst) {
          this->lowered_at[next->first] = now;
        }
      }
      ++old;
      ++next;
    }
  }
  return changed;
}

const Limit* LimitTable::Find(const std::string& workspace) const {
  if (!this->has_limits) {
    return nullptr;
  }
  const auto found = this->limits->find(workspace);
  return found == this->limits->end() || !IsLimited(found->second) ? nullptr : &found->second;
}

bool LimitTable::WasLowered(const std::string& workspace, utils::Timestamp now) const {
  const auto found = this->lowered_at.find(workspace);
  return found != this->lowered_at.end() && now - found->second <= this->options.idle_time;
}

bool LimitTable::Accepts(const std::string& workspace, const Limit& limit, std::uint32_t tag,
                         utils::Timestamp now) const {
  return tag == LimitTag(limit) || !this->WasLowered(workspace, now);
}

}  // namespace amaranthlatch::quota::details
