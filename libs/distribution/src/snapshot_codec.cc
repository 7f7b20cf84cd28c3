// Encoding and verification of snapshot chunks.

#include "snapshot_codec.h"

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::distribution::details {

Snapshot EncodeSnapshot(const acceptance::State& state) {
  const std::string bytes = state.EncodeSnapshot();
  Snapshot snapshot{.offset = state.HeadOffset(), .hash = utils::Hash64(bytes), .chunks = {}};
  for (std::size_t at = 0; at < bytes.size(); at += kSnapshotChunkBytes) {
    snapshot.chunks.push_back(bytes.substr(at, kSnapshotChunkBytes));
  }
  return snapshot;
}

utils::Result<acceptance::State> DecodeSnapshot(const Snapshot& snapshot) {
  std::string bytes;
  for (const std::string& chunk : snapshot.chunks) {
    bytes.append(chunk);
  }
  if (utils::Hash64(bytes) != snapshot.hash) {
    return utils::Fail(utils::ErrorCode::kSnapshotHashMismatch,
                       "snapshot chunks do not match the snapshot hash");
  }
  utils::Result<acceptance::State> state = acceptance::State::DecodeSnapshot(bytes);
  if (state && state->HeadOffset() != snapshot.offset) {
    return utils::Fail(utils::ErrorCode::kSnapshotMalformed,
                       "snapshot state has a different offset than announced");
  }
  return state;
}

}  // namespace amaranthlatch::distribution::details
