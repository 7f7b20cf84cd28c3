// The limits in force, and which of them were lowered lately.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "amaranthlatch/quota/limit.h"
#include "amaranthlatch/quota/options.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::quota::details {

// Sum of all credit of a workspace that may wait in buckets or be on its way between holders. See
// docs/design/quotas.md for how the allowance beyond rate x window is divided.
double MaxCredit(const Limit& limit, const Options& options);

// Distinguishes the limits of a workspace before and after a change.
std::uint32_t LimitTag(const Limit& limit);

class LimitTable {
 public:
  explicit LimitTable(const Options& options) : options(options) {}

  // Returns the workspaces whose limit was changed, added or removed.
  std::vector<std::string> Update(LimitsPointer from, utils::Timestamp now);

  // Returns null if the workspace has no limit. Valid until the next update.
  const Limit* Find(const std::string& workspace) const;
  // Whether any workspace has a limit.
  bool HasLimits() const { return this->has_limits; }
  bool WasLowered(const std::string& workspace, utils::Timestamp now) const;
  // Whether credit that accrued under the limit with this tag may be accepted: after a limit was
  // lowered, credit of holders that have the former one in force would exceed it.
  bool Accepts(const std::string& workspace, const Limit& limit, std::uint32_t tag,
               utils::Timestamp now) const;

 private:
  const Options& options;
  LimitsPointer limits;
  bool has_limits = false;
  // When each limit was lowered, if that was lately.
  std::map<std::string, utils::Timestamp> lowered_at;
};

}  // namespace amaranthlatch::quota::details
