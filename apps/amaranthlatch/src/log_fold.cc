// The accepted state from the log alone.

#include "log_fold.h"

#include <utility>

#include "snapshot_reader.h"

namespace amaranthlatch::cli {

namespace {

using acceptance::State;

constexpr std::size_t kPageRecords = 256;

utils::Result<State> FoldFrom(LogClient& log, State state) {
  for (;;) {
    const auto page = log.Read(kConfigStream, state.HeadOffset() + 1, kPageRecords);
    if (!page) {
      return tl::unexpected(page.error().error);
    }
    for (const LogRecord& record : page->records) {
      if (const auto verdict = state.Apply(record.offset, record.value); !verdict) {
        return tl::unexpected(verdict.error());
      }
    }
    if (page->records.empty() || page->next > page->head) {
      return state;
    }
  }
}

}  // namespace

utils::Result<State> FoldLog(LogClient& log) {
  auto snapshot = ReadNewestSnapshot(log);
  if (!snapshot) {
    return tl::unexpected(snapshot.error());
  }
  return FoldFrom(log, snapshot->has_value() ? std::move(**snapshot) : State());
}

}  // namespace amaranthlatch::cli
