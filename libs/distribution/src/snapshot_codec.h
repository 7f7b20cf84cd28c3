// Splitting of state snapshots into chunks, and reassembly.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "amaranthlatch/acceptance/state.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::distribution::details {

inline constexpr std::size_t kSnapshotChunkBytes = std::size_t{48} << 10U;
// The compressed size never exceeds the limit for the decompressed size.
inline constexpr std::uint32_t kMaxSnapshotChunks =
    static_cast<std::uint32_t>(acceptance::kMaxSnapshotBytes / kSnapshotChunkBytes);

struct Snapshot {
  acceptance::Offset offset = 0;
  // Hash of the concatenated chunks.
  std::uint64_t hash = 0;
  std::vector<std::string> chunks;
};

// Equal states produce identical chunks on all nodes of one release.
Snapshot EncodeSnapshot(const acceptance::State& state);

// Fails with kSnapshotHashMismatch if the chunks do not match the hash, with kSnapshotMalformed if
// the state has a different offset, and with the errors of State::DecodeSnapshot().
utils::Result<acceptance::State> DecodeSnapshot(const Snapshot& snapshot);

}  // namespace amaranthlatch::distribution::details
