// Log lines of rollouts.

#pragma once

#include "amaranthlatch/directory/effect.h"
#include "amaranthlatch/rollout/effect.h"

namespace amaranthlatch::runtime::details {

void LogEffect(const directory::RolloutOrdersChanged& effect);
void LogEffect(const rollout::StageChanged& effect);
void LogEffect(const rollout::VerdictReached& effect);
void LogEffect(const rollout::AdmissionChanged& effect);

}  // namespace amaranthlatch::runtime::details
