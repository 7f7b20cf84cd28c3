// Snapshots in chunks.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "amaranthlatch/acceptance/state.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::distribution::details {

inline constexpr std::size_t kSnapshotChunkBytes = std::size_t{48} << 10U;
// The compressed form is never larger than the limit for the decompressed one.
inline constexpr std::uint32_t kMaxSnapshotChunks =
    static_cast<std::uint32_t>(acceptance::kMaxSnapshotBytes / kSnapshotChunkBytes);

struct Snapshot {
  acceptance::Offset offset = 0;
  // Hash of all chunks put together.
  std::uint64_t hash = 0;
  std::vector<std::string> chunks;
};

// The same state gives the same chunks on every node of one release.
Snapshot EncodeSnapshot(const acceptance::State& state);

// Fails where the chunks do not match the hash or the state is of another offset.
utils::Result<acceptance::State> DecodeSnapshot(const Snapshot& snapshot);

}  // namespace amaranthlatch::distribution::details
