// Options of the node reducer.

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

  // Seed of all random choices. Equal options and events produce equal effects.
  std::uint64_t seed = 0;
  // Random number that distinguishes this process from earlier processes of the same node.
  std::uint64_t boot_id = 0;
  // Wall-clock time at start in milliseconds; the initial incarnation.
  std::uint64_t wall_time_ms = 0;
  // Secret shared by all nodes of the mesh, from which keys are derived.
  std::string secret;

  // The node overwrites the identity, seed nodes, boot id, wall time, random seeds and keys in
  // these.
  membership::Options membership;
  distribution::Options distribution;
  calls::Options calls;
};

}  // namespace amaranthlatch::node
