// Reads the newest complete snapshot of the stream `snapshots`.

#pragma once

#include <optional>

#include "amaranthlatch/acceptance/state.h"
#include "amaranthlatch/utils/result.h"
#include "log_client.h"

namespace amaranthlatch::cli {

// Empty where the stream keeps no complete snapshot that decodes.
utils::Result<std::optional<acceptance::State>> ReadNewestSnapshot(LogClient& log);

}  // namespace amaranthlatch::cli
