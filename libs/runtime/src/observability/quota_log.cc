// Texts of the log lines of quotas.

#include "observability/quota_log.h"

#include <cstdint>

#include "amaranthlatch/runtime/log_line.h"

namespace amaranthlatch::runtime::details {

void LogEffect(const quota::LimitStateChanged& effect) {
  LogLine("workspace-limit")
      .Add("workspace", effect.workspace)
      .Add("limited", effect.limited ? "true" : "false")
      .Add("rate", static_cast<std::uint64_t>(effect.limit.rate))
      .Add("burst", static_cast<std::uint64_t>(effect.limit.burst))
      .Add("demand", static_cast<std::uint64_t>(effect.demand))
      .Add("admitted", effect.admitted)
      .Add("refused", effect.refused)
      .Info();
}

}  // namespace amaranthlatch::runtime::details
