// Log lines of quotas.

#pragma once

#include "amaranthlatch/quota/effect.h"

namespace amaranthlatch::runtime::details {

void LogEffect(const quota::LimitStateChanged& effect);

}  // namespace amaranthlatch::runtime::details
