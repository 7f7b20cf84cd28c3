// Settings of the node reducer.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "amaranthlatch/calls/options.h"
#include "amaranthlatch/distribution/options.h"
#include "amaranthlatch/membership/options.h"

namespace amaranthlatch::node {

struct NodeOptions {
  membership::NodeId id;
  std::string region;
  std::string zone;
  std::string data_address;
  std::vector<membership::NodeId> seeds;

  // Seed of every random choice of the node; equal options and events give equal effects.
  std::uint64_t seed = 0;
  // Random number of this process.
  std::uint64_t boot_id = 0;
  // Wall time at the start, the first incarnation.
  std::uint64_t wall_time_ms = 0;
  // Shared by all nodes of the mesh. Keys are derived from it.
  std::string secret;

  // Identity, seeds, boot id, wall time, random seeds and keys in these are set by the node.
  membership::Options membership;
  distribution::Options distribution;
  calls::Options calls;
};

}  // namespace amaranthlatch::node
