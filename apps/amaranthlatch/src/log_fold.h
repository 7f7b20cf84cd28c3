// The accepted state from the log alone: the newest snapshot of the log and the records after it,
// or all records where the log still keeps the first.

#pragma once

#include "amaranthlatch/acceptance/state.h"
#include "amaranthlatch/utils/result.h"
#include "log_client.h"

namespace amaranthlatch::cli {

// Fails with kLogTruncated where neither a snapshot nor the first record can be read, with
// kRecordUnknownFormat at a record that this release does not know, or with a code of the log.
utils::Result<acceptance::State> FoldLog(LogClient& log);

}  // namespace amaranthlatch::cli
